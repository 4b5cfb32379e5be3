package laurelkeel.config;

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
 * One section while it is read. Getters take the default as text, in the form a user would write; null means that
 * the key must be given. A fault is noted and the default, or a harmless value, goes on in its place, so that one
 * reading finds all faults.
 */
public final class IniSection {
    /** The default of a key that must be given. */
    public static final @Nullable String REQUIRED = null;

    private static final Map<String, Long> UNITS = Map.of("ms", 10L, "s", 10_000L, "min", 600_000L, "h", 36_000_000L);
    private static final Map<String, Long> BYTES = Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30);

    final String name;
    private final IniFile file;
    int line;
    boolean asked, missing;
    private final Map<String, Integer> lines = new LinkedHashMap<>();
    private final Map<String, String> values = new HashMap<>();
    private final TreeSet<String> known = new TreeSet<>();

    IniSection(IniFile file, String name) {
        this.file = file;
        this.name = name;
    }

    public int line() {
        return line;
    }

    void addLine(String key, int at) {
        Integer before = lines.putIfAbsent(key, at);
        if (before != null) {
            file.fault(at, "'" + key + "' stands already on line " + before + "; keep one");
        }
    }

    void put(String key, String value) {
        values.put(key, value);
    }

    void copy(StringBuilder out) {
        lines.keySet().forEach(k -> out.append(k)
                .append(" = ")
                .append(values.getOrDefault(k, ""))
                .append('\n'));
    }

    void unknown() {
        lines.forEach((key, at) -> {
            if (!known.contains(key)) {
                file.fault(at, "'" + key + "' is unknown in [" + name + "]" + IniFile.nearest(key, known));
            }
        });
    }

    /** Notes a fault at a key, for checks that look at several. */
    public void addError(String key, String text) {
        file.fault(lines.getOrDefault(key, line), "'" + key + "' " + text);
    }

    public boolean has(String key) {
        known.add(key);
        return values.containsKey(key);
    }

    private <T> T get(String key, String absent, T harmless, String form, Function<String, T> parse) {
        known.add(key);
        String s = values.get(key);
        if (s == null || s.isBlank()) {
            if (absent == null) {
                if (!missing) {
                    addError(key, "is missing in [" + name + "]; add a line '" + key + " = " + form + "'");
                }
                return harmless;
            }
            s = absent;
        }
        try {
            T t = parse.apply(s.strip());
            if (t != null) {
                return t;
            }
        } catch (RuntimeException e) {
            // told below: what matters to the user is the form, not what the parser met
        }
        addError(key, "is '" + s.strip() + "'; write " + form);
        return harmless;
    }

    public String stringValue(String key, String absent) {
        return get(key, absent, "", "some text", s -> s);
    }

    public long longValue(String key, String absent, long least, long most) {
        return get(key, absent, least, "a whole number from " + least + " to " + most, s -> {
            long n = Long.parseLong(s);
            return n < least || n > most ? null : n;
        });
    }

    public int intValue(String key, String absent, int least, int most) {
        return (int) longValue(key, absent, least, most);
    }

    public double doubleValue(String key, String absent, double least, double most) {
        return get(key, absent, least, "a number from " + least + " to " + most, s -> {
            double d = Double.parseDouble(s);
            return d >= least && d <= most ? d : null;
        });
    }

    public boolean booleanValue(String key, String absent) {
        return get(key, absent, false, "yes or no", s -> switch (s) {
            case "yes", "true", "on" -> true;
            case "no", "false", "off" -> false;
            default -> null;
        });
    }

    public <E extends Enum<E>> E choice(String key, String absent, Class<E> of) {
        Map<String, E> values = new LinkedHashMap<>();
        for (E e : of.getEnumConstants()) {
            values.put(settingName(e), e);
        }
        return choice(key, absent, values);
    }

    /**
     * One of several values.
     *
     * @param values by the name that each has in the file, in the order in which an error lists them; the first stands
     *     in where the file has a fault
     */
    public <T> T choice(String key, String absent, Map<String, T> values) {
        String form = "one of " + String.join(", ", values.keySet());
        return get(key, absent, values.values().iterator().next(), form, values::get);
    }

    /** NON_RETRIABLE reads non-retriable. */
    public static String settingName(Enum<?> e) {
        return e.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** A duration with its unit, in tenths of a millisecond. */
    public long durationTicks(String key, String absent, String least, String most) {
        long from = units(least, UNITS);
        long to = units(most, UNITS);
        return get(key, absent, from, "a time with its unit (ms, s, min, h) from " + least + " to " + most, s -> {
            long t = units(s, UNITS);
            return t < from || t > to ? null : t;
        });
    }

    /** A number of bytes with its unit. */
    public long byteSize(String key, String absent, String least, String most) {
        long from = units(least, BYTES);
        long to = units(most, BYTES);
        return get(key, absent, from, "a size with its unit (B, KiB, MiB, GiB) from " + least + " to " + most, s -> {
            long t = units(s, BYTES);
            return t < from || t > to ? null : t;
        });
    }

    private static long units(String s, Map<String, Long> units) {
        int i = 0;
        while (i < s.length() && (Character.isDigit(s.charAt(i)) || s.charAt(i) == '.')) {
            i++;
        }
        Long unit = units.get(s.substring(i).strip());
        if (unit == null || i == 0) {
            throw new NumberFormatException(s);
        }
        return (long) Math.floor(Double.parseDouble(s.substring(0, i)) * unit + 1e-6);
    }

    public List<Double> doubleList(String key, String absent, double least, double most) {
        String form = "numbers from " + least + " to " + most + " with commas between";
        return get(key, absent, List.of(), form, s -> {
            List<Double> out = new ArrayList<>();
            for (String part : s.split(",")) {
                double d = Double.parseDouble(part.strip());
                if (!(d >= least && d <= most)) {
                    return null;
                }
                out.add(d);
            }
            return out;
        });
    }

    public List<String> stringList(String key, String absent) {
        return get(key, absent, List.of(), "words with commas between", s -> {
            List<String> out = new ArrayList<>();
            for (String part : s.split(",")) {
                if (!part.isBlank()) {
                    out.add(part.strip());
                }
            }
            return out;
        });
    }

    /** host:port; port 0 asks for a free one. */
    public InetSocketAddress address(String key, String absent) {
        return get(
                key,
                absent,
                new InetSocketAddress("127.0.0.1", 0),
                "host:port, as 127.0.0.1:8080",
                IniSection::address);
    }

    public static InetSocketAddress address(String s) {
        int colon = s.lastIndexOf(':');
        if (colon < 1) {
            return null;
        }
        int port = Integer.parseInt(s.substring(colon + 1));
        return port < 0 || port > 65535 ? null : new InetSocketAddress(s.substring(0, colon), port);
    }

    /** The keys that stand here, for sections whose keys are names of the user's own. */
    public List<String> keys() {
        known.addAll(lines.keySet());
        return List.copyOf(lines.keySet());
    }

    public int lineOf(String key) {
        return lines.getOrDefault(key, line);
    }
}
