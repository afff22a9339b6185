import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader for the bodies of store calls. */
final class Json {
    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    static String quote(String value) {
        return "\"" + value.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }

    private void skipBlanks() {
        while (position < text.length() && Character.isWhitespace(text.charAt(position))) position++;
    }

    private Object value() {
        skipBlanks();
        char first = text.charAt(position);
        if (first == '{') return readObject();
        if (first == '[') return readList();
        if (first == '"') return readString();
        int start = position;
        while (position < text.length() && ",]}".indexOf(text.charAt(position)) < 0) position++;
        String word = text.substring(start, position).trim();
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        };
    }

    private Map<String, Object> readObject() {
        Map<String, Object> result = new LinkedHashMap<>();
        position++;
        skipBlanks();
        while (text.charAt(position) != '}') {
            skipBlanks();
            String key = readString();
            skipBlanks();
            position++;
            result.put(key, value());
            skipBlanks();
            if (text.charAt(position) == ',') position++;
            skipBlanks();
        }
        position++;
        return result;
    }

    private List<Object> readList() {
        List<Object> result = new ArrayList<>();
        position++;
        skipBlanks();
        while (text.charAt(position) != ']') {
            result.add(value());
            skipBlanks();
            if (text.charAt(position) == ',') position++;
            skipBlanks();
        }
        position++;
        return result;
    }

    private String readString() {
        StringBuilder result = new StringBuilder();
        position++;
        while (text.charAt(position) != '"') {
            char next = text.charAt(position++);
            if (next == '\\') {
                char escaped = text.charAt(position++);
                if (escaped == 'u') {
                    result.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
                    position += 4;
                } else {
                    result.append(escaped == 'n' ? '\n' : escaped == 't' ? '\t' : escaped == 'r' ? '\r' : escaped);
                }
            } else {
                result.append(next);
            }
        }
        position++;
        return result.toString();
    }
}
