package dev.waxwinghead.coordination.tcp;

import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.model.error.WaxwingheadException;

/** Converts exceptions to frames. */
final class FailureFrames {
    /** The maximum length of a text in characters, so that a failure fits within every frame limit. */
    private static final int MAX_TEXT_CHARACTERS = 600;

    private FailureFrames() {}

    static Frame.Refused toRefused(WaxwingheadException failure) {
        return new Frame.Refused(failure.kind().code(), message(failure), shorten(failure.remedy()));
    }

    static Frame.Failure toFailure(PeerChannel channel, long id, WaxwingheadException failure) {
        return new Frame.Failure(channel, id, failure.kind().code(), message(failure), shorten(failure.remedy()));
    }

    private static String message(WaxwingheadException failure) {
        String fullMessage = failure.getMessage();
        String remedySuffix = "; " + failure.remedy();
        boolean endsWithRemedy = fullMessage.endsWith(remedySuffix);
        return shorten(
                endsWithRemedy ? fullMessage.substring(0, fullMessage.length() - remedySuffix.length()) : fullMessage);
    }

    private static String shorten(String text) {
        return text.length() <= MAX_TEXT_CHARACTERS ? text : text.substring(0, MAX_TEXT_CHARACTERS);
    }
}
