package laurelkeel.options;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.regex.Pattern;
import laurelkeel.text.DecimalNumbers;
import org.jspecify.annotations.Nullable;

/**
 * Reads typed values of options by their paths.
 *
 * <p>An absent option reads as 0, false or an empty list. Every method throws an {@link InvalidOptionException} if the
 * value is not of its type. Thread-safe if the map is.
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
        return parse(path, "0", "number", DecimalNumbers::parse);
    }

    /** Reads a time in milliseconds and returns it in ticks. */
    long ticks(String path) {
        return Numbers.millisToTicks(number(path));
    }

    int wholeNumber(String path) {
        return parse(path, "0", "whole number", text -> (int) Math.round(DecimalNumbers.parse(text)));
    }

    boolean flag(String path) {
        return parse(path, "false", "bool", text -> BOOLEANS.get(text.toLowerCase(Locale.ROOT)));
    }

    /**
     * Reads a value that is one of several names.
     *
     * @param defaultName the name to use if the option is absent
     * @param typeName what the value is, for error messages
     * @param values the values by their names
     */
    <T> T choice(String path, String defaultName, String typeName, Map<String, T> values) {
        return parse(path, defaultName, typeName, values::get);
    }

    /** Reads a comma-separated list of strings. */
    List<String> strings(String path) {
        String text = options.getOrDefault(path, "");
        return text.isEmpty() ? List.of() : List.of(SEPARATOR.split(text));
    }

    /** Reads a comma-separated list of numbers. */
    List<Double> numbers(String path) {
        return parse(
                path,
                "",
                "list of numbers",
                text -> text.isEmpty()
                        ? List.of()
                        : SEPARATOR
                                .splitAsStream(text)
                                .map(DecimalNumbers::parse)
                                .toList());
    }

    /** Returns the paths of the items of a list of objects; the options of each item are below its path. */
    List<String> itemPaths(String path) {
        List<String> itemPaths = new ArrayList<>();
        int length = wholeNumber(path + "." + LENGTH);
        for (int i = 0; i < length; i++) {
            itemPaths.add(path + "." + i);
        }
        return itemPaths;
    }

    /** Reads the names of the items of a list of objects. */
    List<String> names(String path) {
        List<String> names = new ArrayList<>();
        for (String itemPath : itemPaths(path)) {
            names.add(parse(itemPath + ".name", "", "name", text -> text.isEmpty() ? null : text));
        }
        return names;
    }

    /**
     * Parses the value of an option.
     *
     * @param parser returns null or throws if the text is not a valid value
     */
    private <T> T parse(String path, String defaultText, String typeName, Function<String, @Nullable T> parser) {
        String text = options.getOrDefault(path, defaultText);
        T value;
        try {
            value = parser.apply(text);
        } catch (RuntimeException e) {
            throw new InvalidOptionException(path, "'" + text + "' is not a valid " + typeName);
        }
        if (value == null) {
            throw new InvalidOptionException(path, "'" + text + "' is unknown");
        }
        return value;
    }
}
