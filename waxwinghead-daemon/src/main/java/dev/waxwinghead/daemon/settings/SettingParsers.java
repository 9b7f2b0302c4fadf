package dev.waxwinghead.daemon.settings;

import dev.waxwinghead.coordination.peer.PeerAddress;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.DataCentreId;
import dev.waxwinghead.model.id.HostId;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the texts of settings. A parser rejects an invalid text with an exception that states the remedy. */
final class SettingParsers {
    private static final Pattern IP_AND_PORT =
            Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9A-Fa-f:.]+\\]):(\\d{1,5})");
    private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m|h)");
    private static final Pattern PEER = Pattern.compile("([^@=]+)@([^@=]+)=(.+)");
    private static final int MAX_PORT = 65_535;

    private SettingParsers() {}

    static InetSocketAddress address(String text) {
        Matcher matcher = IP_AND_PORT.matcher(text);
        if (!matcher.matches()) {
            throw invalid("not an address", "give an IP number and a port, such as 127.0.0.1:7200");
        }
        int port = Integer.parseInt(matcher.group(2));
        if (port > MAX_PORT) {
            throw invalid("port " + port + " is out of range", "give a port from 0 to " + MAX_PORT);
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(matcher.group(1)), port);
        } catch (UnknownHostException e) {
            throw invalid("not an IP number", "give numbers from 0 to 255, such as 127.0.0.1:7200");
        }
    }

    static Function<String, Duration> duration(Duration min, Duration max) {
        return text -> {
            Matcher matcher = DURATION.matcher(text);
            if (!matcher.matches()) {
                throw invalid("not a time", "give a whole number with ms, s, m or h, such as 500ms or 30s");
            }
            Duration value = Duration.of(Long.parseLong(matcher.group(1)), unit(matcher.group(2)));
            if (value.compareTo(min) < 0 || value.compareTo(max) > 0) {
                throw invalid("out of range", "give a time from " + format(min) + " to " + format(max));
            }
            return value;
        };
    }

    static Function<String, Integer> integer(int min, int max) {
        return text -> {
            int value;
            try {
                value = Integer.parseInt(text);
            } catch (NumberFormatException e) {
                throw invalid("not a whole number", "give a number from " + min + " to " + max);
            }
            if (value < min || value > max) {
                throw invalid("out of range", "give a number from " + min + " to " + max);
            }
            return value;
        };
    }

    static List<PeerAddress> peers(String text) {
        return Arrays.stream(text.split(",", -1)).map(SettingParsers::peer).toList();
    }

    static List<HostId> hosts(String text) {
        return Arrays.stream(text.split(",", -1)).map(HostId::of).toList();
    }

    private static PeerAddress peer(String text) {
        Matcher matcher = PEER.matcher(text);
        if (!matcher.matches()) {
            throw invalid("'" + text + "' is not a peer", "give id@dataCentre=ip:port, separated by commas");
        }
        return new PeerAddress(
                HostId.of(matcher.group(1)), DataCentreId.of(matcher.group(2)), address(matcher.group(3)));
    }

    private static java.time.temporal.ChronoUnit unit(String text) {
        return switch (text) {
            case "ms" -> java.time.temporal.ChronoUnit.MILLIS;
            case "s" -> java.time.temporal.ChronoUnit.SECONDS;
            case "m" -> java.time.temporal.ChronoUnit.MINUTES;
            default -> java.time.temporal.ChronoUnit.HOURS;
        };
    }

    private static String format(Duration duration) {
        return duration.toMillis() % 1_000 == 0 ? duration.toSeconds() + "s" : duration.toMillis() + "ms";
    }

    private static WaxwingheadException invalid(String message, String remedy) {
        return WaxwingheadException.of(ErrorKind.INVALID_INPUT, message, remedy);
    }
}
