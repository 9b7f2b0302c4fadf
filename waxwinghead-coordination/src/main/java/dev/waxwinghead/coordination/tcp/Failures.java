package dev.waxwinghead.coordination.tcp;

import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.model.error.WaxwingheadException;

/** Turns typed failures into frames. */
final class Failures {
    /** Keeps a failure within the bound of any frame, in characters. */
    private static final int MAX_TEXT_LENGTH = 600;

    private Failures() {}

    static Frame.Refused refusal(WaxwingheadException failure) {
        return new Frame.Refused(failure.kind().code(), message(failure), shorten(failure.remedy()));
    }

    static Frame.Failure answer(PeerChannel channel, long id, WaxwingheadException failure) {
        return new Frame.Failure(channel, id, failure.kind().code(), message(failure), shorten(failure.remedy()));
    }

    private static String message(WaxwingheadException failure) {
        String whole = failure.getMessage();
        String ending = "; " + failure.remedy();
        boolean endsWithRemedy = whole.endsWith(ending);
        return shorten(endsWithRemedy ? whole.substring(0, whole.length() - ending.length()) : whole);
    }

    private static String shorten(String text) {
        return text.length() <= MAX_TEXT_LENGTH ? text : text.substring(0, MAX_TEXT_LENGTH);
    }
}
