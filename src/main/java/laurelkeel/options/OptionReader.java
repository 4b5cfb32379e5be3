package laurelkeel.options;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Reads typed values of options by their paths.
 *
 * <p>An option that is left out reads as 0, false or an empty list. Every method throws an {@link
 * InvalidOptionException} where the value has another form. Thread-safe where the map is.
 */
final class OptionReader {
    private static final Map<String, Boolean> BOOLEANS = Map.of("true", true, "1", true, "false", false, "0", false);
    private static final Pattern SEPARATOR = Pattern.compile(",");
    private static final String LENGTH = "count";

    private final Map<String, String> options;

    /** @param options values by their paths */
    OptionReader(Map<String, String> options) {
        this.options = options;
    }

    double number(String path) {
        return parse(path, "0", "number", Numbers::parseFinite);
    }

    /** A time in milliseconds, as ticks. */
    long ticks(String path) {
        return Numbers.millisToTicks(number(path));
    }

    int wholeNumber(String path) {
        return parse(path, "0", "whole number", text -> (int) Math.round(Numbers.parseFinite(text)));
    }

    boolean flag(String path) {
        return parse(path, "false", "bool", text -> BOOLEANS.get(text.toLowerCase(Locale.ROOT)));
    }

    /**
     * A value that is one of a few names.
     *
     * @param absent the name where the option is left out
     * @param what the kind of value, for errors
     * @param values the value of each name
     */
    <T> T choice(String path, String absent, String what, Map<String, T> values) {
        return parse(path, absent, what, values::get);
    }

    /** A list of plain values, joined by commas. */
    List<String> texts(String path) {
        String text = options.getOrDefault(path, "");
        return text.isEmpty() ? List.of() : List.of(SEPARATOR.split(text));
    }

    /** A list of numbers, joined by commas. */
    List<Double> numbers(String path) {
        return parse(
                path,
                "",
                "list of numbers",
                text -> text.isEmpty()
                        ? List.of()
                        : SEPARATOR
                                .splitAsStream(text)
                                .map(Numbers::parseFinite)
                                .toList());
    }

    /** The paths of a list's items, each of which has options of its own under it. */
    List<String> items(String path) {
        List<String> items = new ArrayList<>();
        int length = wholeNumber(path + "." + LENGTH);
        for (int i = 0; i < length; i++) {
            items.add(path + "." + i);
        }
        return items;
    }

    /** The names of a list's items. */
    List<String> names(String path) {
        List<String> names = new ArrayList<>();
        for (String item : items(path)) {
            names.add(parse(item + ".name", "", "name", text -> text.isEmpty() ? null : text));
        }
        return names;
    }

    /** The parser returns null, or throws, where the text is no value. */
    private <T> T parse(String path, String absent, String what, Function<String, @Nullable T> parser) {
        String text = options.getOrDefault(path, absent);
        T value;
        try {
            value = parser.apply(text);
        } catch (RuntimeException e) {
            throw new InvalidOptionException(path, "'" + text + "' is no " + what);
        }
        if (value == null) {
            throw new InvalidOptionException(path, "'" + text + "' is unknown");
        }
        return value;
    }
}
