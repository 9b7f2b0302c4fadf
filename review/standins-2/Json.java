import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON into maps, lists, strings, numbers and booleans, and writes strings. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        return json.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return text.isBlank() ? Map.of() : (Map<String, Object>) parse(text);
    }

    @SuppressWarnings("unchecked")
    static List<List<Object>> rows(Map<String, Object> object, String field) {
        return (List<List<Object>>) object.getOrDefault(field, List.of());
    }

    static long number(Object value) {
        return ((Number) value).longValue();
    }

    static String quote(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private char skip() {
        while (Character.isWhitespace(text.charAt(at))) {
            at++;
        }
        return text.charAt(at);
    }

    private Object value() {
        char first = skip();
        if (first == '{') {
            return readObject();
        }
        if (first == '[') {
            return readArray();
        }
        if (first == '"') {
            return readString();
        }
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
        };
    }

    private Map<String, Object> readObject() {
        Map<String, Object> object = new LinkedHashMap<>();
        at++;
        while (skip() != '}') {
            String key = readString();
            skip();
            at++;
            object.put(key, value());
            if (skip() == ',') {
                at++;
            }
        }
        at++;
        return object;
    }

    private List<Object> readArray() {
        List<Object> array = new ArrayList<>();
        at++;
        while (skip() != ']') {
            array.add(value());
            if (skip() == ',') {
                at++;
            }
        }
        at++;
        return array;
    }

    private String readString() {
        skip();
        at++;
        StringBuilder out = new StringBuilder();
        while (text.charAt(at) != '"') {
            char next = text.charAt(at++);
            if (next == '\\') {
                char escaped = text.charAt(at++);
                switch (escaped) {
                    case 'n' -> out.append('\n');
                    case 't' -> out.append('\t');
                    case 'r' -> out.append('\r');
                    case 'b' -> out.append('\b');
                    case 'f' -> out.append('\f');
                    case 'u' -> {
                        out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                        at += 4;
                    }
                    default -> out.append(escaped);
                }
            } else {
                out.append(next);
            }
        }
        at++;
        return out.toString();
    }
}
