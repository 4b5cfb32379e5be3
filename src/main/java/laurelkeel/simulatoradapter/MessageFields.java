package laurelkeel.simulatoradapter;

import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.function.Function;
import laurelkeel.api.LoadReport;
import laurelkeel.options.Numbers;
import laurelkeel.text.DecimalNumbers;
import org.jspecify.annotations.Nullable;

/**
 * The values of one line of the simulator's protocol, read in order. Each method that reads takes the name of the next
 * field, and throws a {@link MalformedSimulatorMessageException} with that name if the value is missing or invalid.
 */
final class MessageFields {
    private static final String ABSENT = "-";

    private final long lineNumber;
    private final String[] parts;
    private int next = 1;

    MessageFields(long lineNumber, String text) {
        this.lineNumber = lineNumber;
        this.parts = text.split(" ", -1);
    }

    /** Returns the message's name, which is the first part of the line. */
    String name() {
        return parts[0];
    }

    /** Checks the number of values after the message's name. */
    void expectValues(int expected) {
        int found = parts.length - 1;
        if (found != expected) {
            throw new MalformedSimulatorMessageException(
                    lineNumber, name(), "has " + found + " values, expected " + expected);
        }
    }

    /** Creates the error for a field, which the caller throws. */
    MalformedSimulatorMessageException malformed(String field, String reason) {
        return new MalformedSimulatorMessageException(lineNumber, name() + "." + field, reason);
    }

    private boolean hasMore() {
        return next < parts.length;
    }

    String text(String field) {
        if (!hasMore() || parts[next].isEmpty()) {
            throw malformed(field, "is missing");
        }
        return parts[next++];
    }

    /** Reads a text; null if the field has the mark of an absent value. */
    @Nullable
    String optionalText(String field) {
        String value = text(field);
        return value.equals(ABSENT) ? null : value;
    }

    private <T> T parse(String field, String value, String form, Function<String, T> parser) {
        try {
            return parser.apply(value);
        } catch (RuntimeException e) {
            throw malformed(field, "'" + value + "' is not a valid " + form);
        }
    }

    long longInteger(String field) {
        return parse(field, text(field), "64-bit integer", Long::parseLong);
    }

    int integer(String field) {
        return parse(field, text(field), "32-bit integer", Integer::parseInt);
    }

    int optionalInteger(String field, int defaultValue) {
        String value = optionalText(field);
        return value == null ? defaultValue : parse(field, value, "32-bit integer", Integer::parseInt);
    }

    double optionalNumber(String field, double defaultValue) {
        String value = optionalText(field);
        return value == null ? defaultValue : parse(field, value, "finite number", DecimalNumbers::parse);
    }

    /** Reads a time, which the protocol gives in milliseconds, in ticks; 0 if it is absent. */
    long ticks(String field) {
        return Numbers.millisToTicks(optionalNumber(field, 0));
    }

    boolean flag(String field) {
        String value = text(field);
        return switch (value) {
            case "1" -> true;
            case "0", ABSENT -> false;
            default -> throw malformed(field, "'" + value + "' is not 0 or 1");
        };
    }

    /** Reads one of the protocol's names and returns the term that it represents. */
    <T> T oneOf(String field, Map<String, T> terms) {
        String value = text(field);
        T term = terms.get(value);
        if (term == null) {
            throw malformed(field, "'" + value + "' is unknown");
        }
        return term;
    }

    /** Reads a load report: name:value pairs separated by commas. */
    LoadReport loadReport(String field) {
        String value = optionalText(field);
        if (value == null) {
            return LoadReport.NONE;
        }
        Map<String, Double> values = new HashMap<>();
        for (String pair : value.split(",", 0)) {
            int colon = pair.indexOf(':');
            if (colon < 1) {
                throw malformed(field, "'" + pair + "' is not a name:value pair");
            }
            String number = pair.substring(colon + 1);
            values.put(pair.substring(0, colon), parse(field, number, "finite number", DecimalNumbers::parse));
        }
        return new LoadReport(values);
    }

    byte[] bytes(String field) {
        String value = optionalText(field);
        return value == null ? new byte[0] : parse(field, value, "hexadecimal text", HexFormat.of()::parseHex);
    }

    /** Reads the rest of the line as path=value pairs. */
    Map<String, String> pairs(String field) {
        Map<String, String> pairs = new HashMap<>();
        while (hasMore()) {
            String pair = text(field);
            int equals = pair.indexOf('=');
            if (equals < 1) {
                throw malformed(field, "'" + pair + "' is not a path=value pair");
            }
            pairs.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return pairs;
    }
}
