package laurelkeel.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * One section of an INI file while it is read. Getters take the default as text, in the form that a user would write, or
 * {@link #REQUIRED}. An error is noted and the default, or a harmless value, stands in, so that one reading finds all
 * errors. Not thread-safe.
 */
public final class IniSection {
    /** The default of a key that must be given. */
    public static final @Nullable String REQUIRED = null;

    private static final int MAX_PORT = 65_535;

    private final IniFile file;
    private final String name;
    private final int line;
    private final boolean missing;
    private final Map<String, Integer> linesByKey = new LinkedHashMap<>();
    private final Map<String, String> values = new HashMap<>();
    private final TreeSet<String> knownKeys = new TreeSet<>();
    private boolean known;

    /**
     * Creates a section without keys.
     *
     * @param missing whether it should stand in the file and does not, so that its keys are no errors of their own
     */
    IniSection(IniFile file, String name, int line, boolean missing) {
        this.file = file;
        this.name = name;
        this.line = line;
        this.missing = missing;
    }

    int line() {
        return line;
    }

    void markAsKnown() {
        known = true;
    }

    boolean isKnown() {
        return known;
    }

    void addKey(String key, int keyLine) {
        Integer firstLine = linesByKey.putIfAbsent(key, keyLine);
        if (firstLine != null) {
            file.addError(keyLine, "'" + key + "' stands already on line " + firstLine + "; keep one");
        }
    }

    void put(String key, String value) {
        values.put(key, value);
    }

    void copyTo(StringBuilder copy) {
        for (String key : linesByKey.keySet()) {
            copy.append(key).append(" = ").append(values.getOrDefault(key, "")).append('\n');
        }
    }

    void addErrorsForUnknownKeys() {
        linesByKey.forEach((key, keyLine) -> {
            if (!knownKeys.contains(key)) {
                file.addError(
                        keyLine,
                        "'" + key + "' is unknown in [" + name + "]" + SpellingSuggestion.suggest(key, knownKeys));
            }
        });
    }

    /** Adds an error at a key, for checks that look at several keys. */
    public void addError(String key, String text) {
        file.addError(linesByKey.getOrDefault(key, line), "'" + key + "' " + text);
    }

    /** Whether a key stands in the section. */
    public boolean has(String key) {
        knownKeys.add(key);
        return values.containsKey(key);
    }

    /**
     * Reads a value.
     *
     * @param harmlessValue stands in for one that is missing or wrong
     * @param form what to write, for errors
     * @param parser gives null or throws for a wrong value
     */
    private <T> T read(
            String key,
            @Nullable String defaultText,
            T harmlessValue,
            String form,
            Function<String, ? extends @Nullable T> parser) {
        knownKeys.add(key);
        String text = values.get(key);
        if (text == null || text.isBlank()) {
            if (defaultText == null) {
                addErrorForMissing(key, form);
                return harmlessValue;
            }
            text = defaultText;
        }
        T value = parse(text.strip(), parser);
        if (value == null) {
            addError(key, "is '" + text.strip() + "'; write " + form);
            return harmlessValue;
        }
        return value;
    }

    private void addErrorForMissing(String key, String form) {
        if (!missing) {
            addError(key, "is missing in [" + name + "]; add a line '" + key + " = " + form + "'");
        }
    }

    /** What matters to the user is the form, not what the parser met: any exception says that it is wrong. */
    private static <T> @Nullable T parse(String text, Function<String, ? extends @Nullable T> parser) {
        try {
            return parser.apply(text);
        } catch (RuntimeException e) {
            return null;
        }
    }

    /** Reads a text. */
    public String stringValue(String key, @Nullable String defaultText) {
        return read(key, defaultText, "", "some text", text -> text);
    }

    /** Reads a whole number within bounds. */
    public long longValue(String key, @Nullable String defaultText, long min, long max) {
        return read(key, defaultText, min, "a whole number from " + min + " to " + max, text -> {
            long value = Long.parseLong(text);
            return value < min || value > max ? null : value;
        });
    }

    /** Reads a whole number within bounds. */
    public int intValue(String key, @Nullable String defaultText, int min, int max) {
        return (int) longValue(key, defaultText, min, max);
    }

    /** Reads a number within bounds. */
    public double doubleValue(String key, @Nullable String defaultText, double min, double max) {
        return read(key, defaultText, min, "a number from " + min + " to " + max, text -> {
            double value = Double.parseDouble(text);
            return value >= min && value <= max ? value : null;
        });
    }

    /** Reads yes or no. */
    public boolean booleanValue(String key, @Nullable String defaultText) {
        return read(key, defaultText, false, "yes or no", text -> switch (text) {
            case "yes", "true", "on" -> true;
            case "no", "false", "off" -> false;
            default -> null;
        });
    }

    /** Reads a constant of an enum by its {@link #settingName}. */
    public <E extends Enum<E>> E choice(String key, @Nullable String defaultText, Class<E> type) {
        Map<String, E> choices = new LinkedHashMap<>();
        for (E constant : type.getEnumConstants()) {
            choices.put(settingName(constant), constant);
        }
        return choice(key, defaultText, choices);
    }

    /**
     * Reads one of several values.
     *
     * @param choices by the name that each has in the file, in the order in which an error lists them; the first stands
     *     in where the file has an error
     */
    public <T> T choice(String key, @Nullable String defaultText, Map<String, T> choices) {
        String form = "one of " + String.join(", ", choices.keySet());
        return read(key, defaultText, choices.values().iterator().next(), form, choices::get);
    }

    /** The name of an enum's constant in settings: NON_RETRIABLE is non-retriable. */
    public static String settingName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Reads a duration with its unit.
     *
     * @param min as a user would write it
     * @param max as a user would write it
     * @return ticks of a tenth of a millisecond
     */
    public long durationTicks(String key, @Nullable String defaultText, String min, String max) {
        String form = "a time with its unit (ms, s, min, h) from " + min + " to " + max;
        return quantity(key, defaultText, min, max, form, Quantities::parseTicks);
    }

    /**
     * Reads a size with its unit.
     *
     * @param min as a user would write it
     * @param max as a user would write it
     * @return bytes
     */
    public long byteSize(String key, @Nullable String defaultText, String min, String max) {
        String form = "a size with its unit (B, KiB, MiB, GiB) from " + min + " to " + max;
        return quantity(key, defaultText, min, max, form, Quantities::parseBytes);
    }

    private long quantity(
            String key,
            @Nullable String defaultText,
            String min,
            String max,
            String form,
            Function<String, Long> parser) {
        long minValue = parser.apply(min);
        long maxValue = parser.apply(max);
        return read(key, defaultText, minValue, form, text -> {
            long value = parser.apply(text);
            return value < minValue || value > maxValue ? null : value;
        });
    }

    /** Reads numbers within bounds, with commas between. */
    public List<Double> doubleList(String key, @Nullable String defaultText, double min, double max) {
        String form = "numbers from " + min + " to " + max + " with commas between";
        return read(key, defaultText, List.of(), form, text -> {
            List<Double> numbers = new ArrayList<>();
            for (String part : splitAtCommas(text)) {
                double number = Double.parseDouble(part.strip());
                if (!(number >= min && number <= max)) {
                    return null;
                }
                numbers.add(number);
            }
            return numbers;
        });
    }

    /** Reads words with commas between. */
    public List<String> stringList(String key, @Nullable String defaultText) {
        return read(key, defaultText, List.of(), "words with commas between", text -> {
            List<String> words = new ArrayList<>();
            for (String part : splitAtCommas(text)) {
                if (!part.isBlank()) {
                    words.add(part.strip());
                }
            }
            return words;
        });
    }

    private static String[] splitAtCommas(String text) {
        int dropTrailingEmptyParts = 0;
        return text.split(",", dropTrailingEmptyParts);
    }

    /** Reads host:port; port 0 asks for a free one. */
    public InetSocketAddress address(String key, @Nullable String defaultText) {
        return read(
                key,
                defaultText,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                "host:port, as 127.0.0.1:8080",
                IniSection::parseAddress);
    }

    /**
     * Parses host:port and resolves the host.
     *
     * @return null where it has no host or no such port; unresolved where the host is not known
     * @throws NumberFormatException where the port is no number
     */
    @SuppressWarnings("AddressSelection") // a setting names one address; which one a host name gives is the resolver's
    public static @Nullable InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            return null;
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        return port < 0 || port > MAX_PORT ? null : new InetSocketAddress(text.substring(0, colon), port);
    }

    /** The keys that stand in the section, for one whose keys are names of the user's own. */
    public List<String> keys() {
        knownKeys.addAll(linesByKey.keySet());
        return List.copyOf(linesByKey.keySet());
    }
}
