import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON with maps, lists, strings, numbers and booleans. */
final class Json {
    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        Object value = new Json(text).value();
        return value instanceof Map ? (Map<String, Object>) value : new LinkedHashMap<>();
    }

    static String quote(String text) {
        StringBuilder out = new StringBuilder("\"");
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        return out.append('"').toString();
    }

    private Object value() {
        skipSpace();
        char c = text.charAt(position);
        if (c == '{') {
            return map();
        }
        if (c == '[') {
            return list();
        }
        if (c == '"') {
            return string();
        }
        int start = position;
        while (position < text.length() && ",]} \n\r\t".indexOf(text.charAt(position)) < 0) {
            position++;
        }
        String word = text.substring(start, position);
        if (word.equals("true") || word.equals("false")) {
            return Boolean.valueOf(word);
        }
        if (word.equals("null")) {
            return null;
        }
        return word.matches("-?\\d+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        position++;
        skipSpace();
        while (text.charAt(position) != '}') {
            String key = string();
            skipSpace();
            position++;
            map.put(key, value());
            skipSpace();
            if (text.charAt(position) == ',') {
                position++;
                skipSpace();
            }
        }
        position++;
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        position++;
        skipSpace();
        while (text.charAt(position) != ']') {
            list.add(value());
            skipSpace();
            if (text.charAt(position) == ',') {
                position++;
                skipSpace();
            }
        }
        position++;
        return list;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        position++;
        while (text.charAt(position) != '"') {
            char c = text.charAt(position++);
            if (c == '\\') {
                c = text.charAt(position++);
                if (c == 'u') {
                    c = (char) Integer.parseInt(text.substring(position, position + 4), 16);
                    position += 4;
                } else if (c == 'n') {
                    c = '\n';
                } else if (c == 't') {
                    c = '\t';
                } else if (c == 'r') {
                    c = '\r';
                }
            }
            out.append(c);
        }
        position++;
        return out.toString();
    }

    private void skipSpace() {
        while (position < text.length() && Character.isWhitespace(text.charAt(position))) {
            position++;
        }
    }
}
