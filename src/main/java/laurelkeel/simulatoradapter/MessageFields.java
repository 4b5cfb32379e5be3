package laurelkeel.simulatoradapter;

import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.function.Function;
import laurelkeel.api.LoadReport;
import laurelkeel.options.Numbers;
import org.jspecify.annotations.Nullable;

/**
 * The values of one line of the simulator's protocol, read in order. Each reader names the field that it expects next;
 * where the value cannot be read, it throws a {@link MalformedSimulatorMessageException} that names that field.
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

    /** The message's name: the first part of the line. */
    String name() {
        return parts[0];
    }

    /** Checks the number of values. */
    void expect(int values) {
        int found = parts.length - 1;
        if (found != values) {
            throw new MalformedSimulatorMessageException(lineNumber, name(), "has " + found + " values, not " + values);
        }
    }

    /** The error of a field, for the caller to throw. */
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

    /** A text; null where the field holds the mark of an absent value. */
    @Nullable
    String optionalText(String field) {
        String value = text(field);
        return value.equals(ABSENT) ? null : value;
    }

    private <T> T parsed(String field, String value, String form, Function<String, T> parser) {
        try {
            return parser.apply(value);
        } catch (RuntimeException e) {
            throw malformed(field, "'" + value + "' is no " + form);
        }
    }

    long whole(String field) {
        return parsed(field, text(field), "whole number", Long::parseLong);
    }

    int integer(String field) {
        return parsed(field, text(field), "small whole number", Integer::parseInt);
    }

    int optionalInteger(String field, int absent) {
        String value = optionalText(field);
        return value == null ? absent : parsed(field, value, "small whole number", Integer::parseInt);
    }

    double number(String field, double absent) {
        String value = optionalText(field);
        return value == null ? absent : parsed(field, value, "number", Numbers::parseFinite);
    }

    /** A time, which the protocol gives in milliseconds; 0 where it is absent. */
    long ticks(String field) {
        return Numbers.millisToTicks(number(field, 0));
    }

    boolean flag(String field) {
        String value = text(field);
        return switch (value) {
            case "1" -> true;
            case "0", ABSENT -> false;
            default -> throw malformed(field, "'" + value + "' is neither 0 nor 1");
        };
    }

    /** One of the protocol's names, as the term that it stands for. */
    <T> T oneOf(String field, Map<String, T> terms) {
        String value = text(field);
        T term = terms.get(value);
        if (term == null) {
            throw malformed(field, "'" + value + "' is unknown");
        }
        return term;
    }

    /** Pairs of name and value, joined by commas. */
    LoadReport loadReport(String field) {
        String value = optionalText(field);
        if (value == null) {
            return LoadReport.NONE;
        }
        Map<String, Double> values = new HashMap<>();
        for (String pair : value.split(",", 0)) {
            int colon = pair.indexOf(':');
            if (colon < 1) {
                throw malformed(field, "'" + pair + "' is no name:value");
            }
            String number = pair.substring(colon + 1);
            values.put(pair.substring(0, colon), parsed(field, number, "number", Numbers::parseFinite));
        }
        return new LoadReport(values);
    }

    byte[] bytes(String field) {
        String value = optionalText(field);
        return value == null ? new byte[0] : parsed(field, value, "hex", HexFormat.of()::parseHex);
    }

    /** All that is left of the line, as pairs of path and value. */
    Map<String, String> pairs(String field) {
        Map<String, String> pairs = new HashMap<>();
        while (hasMore()) {
            String pair = text(field);
            int equals = pair.indexOf('=');
            if (equals < 1) {
                throw malformed(field, "'" + pair + "' is no path=value");
            }
            pairs.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return pairs;
    }
}
