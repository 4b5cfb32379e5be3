package laurelkeel.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.jspecify.annotations.Nullable;

/**
 * The header lines of a message in their original order. Names are case-insensitive.
 *
 * <p>Not thread-safe; may be read by several threads once it is no longer modified.
 */
public final class Headers {
    private static final int EXPECTED_LINES = 8;

    private final List<String> names = new ArrayList<>(EXPECTED_LINES);
    private final List<String> values = new ArrayList<>(EXPECTED_LINES);

    /** Creates headers from alternating names and values. */
    public static Headers of(String... namesAndValues) {
        Headers headers = new Headers();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            headers.add(namesAndValues[i], namesAndValues[i + 1]);
        }
        return headers;
    }

    /** Adds a line; existing lines with the same name are kept. */
    public Headers add(String name, String value) {
        names.add(name);
        values.add(value);
        return this;
    }

    /** Returns the number of lines. */
    public int size() {
        return names.size();
    }

    /** Returns the name of the line at an index. */
    public String name(int index) {
        return names.get(index);
    }

    /** Returns the value of the line at an index. */
    public String value(int index) {
        return values.get(index);
    }

    /** Returns the value of the first line with a name; null if there is none. */
    public @Nullable String get(String name) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                return values.get(i);
            }
        }
        return null;
    }

    /** Returns the number of lines with a name; more than one is an error for headers that delimit a message. */
    public int count(String name) {
        int count = 0;
        for (String each : names) {
            count += each.equalsIgnoreCase(name) ? 1 : 0;
        }
        return count;
    }

    /**
     * Whether the comma-separated values of all lines with a name contain a token.
     *
     * @param token must be in lower case; the values are compared with it without regard to case
     */
    public boolean has(String name, String token) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                for (String part : values.get(i).split(",", -1)) {
                    if (part.trim().toLowerCase(Locale.ROOT).equals(token)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    @Override
    public String toString() {
        StringBuilder lines = new StringBuilder();
        for (int i = 0; i < names.size(); i++) {
            lines.append(names.get(i)).append(": ").append(values.get(i)).append('\n');
        }
        return lines.toString();
    }
}
