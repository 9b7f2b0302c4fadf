package dev.waxwinghead.daemon.log;

/** Escapes text for JSON strings. */
final class JsonText {
    private JsonText() {}

    static void escape(String text, StringBuilder line) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                line.append('\\').append(c);
            } else if (c < ' ') {
                line.append(String.format("\\u%04x", (int) c));
            } else {
                line.append(c);
            }
        }
    }
}
