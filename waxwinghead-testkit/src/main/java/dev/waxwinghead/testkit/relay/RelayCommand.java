package dev.waxwinghead.testkit.relay;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;

/**
 * Runs a {@link TcpRelay} until the end of standard input. Each line of the input is one of {@code cut}, {@code drop},
 * {@code freeze}, {@code forget} and {@code heal}.
 *
 * @since 0.1
 */
@Command(
        name = "relay",
        description = "Passes TCP connections on; lines on the input break them: cut, drop, freeze, forget, heal")
public final class RelayCommand implements Callable<Integer> {
    @AirlineModule
    HelpOption<RelayCommand> help;

    @Required
    @Option(name = "--listen", description = "where to accept connections, ip:port; port 0 picks a free one")
    String listen;

    @Required
    @Option(name = "--target", description = "where to pass them on to, ip:port")
    String target;

    @Override
    public Integer call() throws IOException {
        if (help.showHelpIfRequested()) {
            return 0;
        }
        try (TcpRelay relay = TcpRelay.open(address("--listen", listen), address("--target", target))) {
            System.out.println("relay on " + relay.address());
            BufferedReader input = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
            for (String line = input.readLine(); line != null; line = input.readLine()) {
                System.out.println(apply(relay, line.strip()));
            }
            return 0;
        }
    }

    private static String apply(TcpRelay relay, String command) {
        switch (command) {
            case "cut" -> relay.cut();
            case "drop" -> relay.drop();
            case "freeze" -> relay.freeze();
            case "forget" -> relay.dropEstablished();
            case "heal" -> relay.heal();
            default -> {
                return "'" + command + "' is unknown; give cut, drop, freeze, forget or heal";
            }
        }
        return command + " done";
    }

    private static InetSocketAddress address(String flag, String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            throw WaxwingheadException.of(
                    ErrorKind.INVALID_INPUT, flag + " '" + text + "' is not an address", "give ip:port", e);
        }
    }
}
