package laurelkeel.simulatoradapter;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import laurelkeel.api.LoadReport;
import laurelkeel.options.Numbers;

/** The values of one line, read in order. */
final class MessageFields {
    private final long line;
    private final String[] parts;
    private int at = 1;

    MessageFields(long line, String text) {
        this.line = line;
        this.parts = text.split(" ", -1);
    }

    String name() {
        return parts[0];
    }

    void expect(int values) {
        if (parts.length - 1 != values) {
            throw new MalformedSimulatorMessageException(
                    line, name(), "has " + (parts.length - 1) + " values, not " + values);
        }
    }

    MalformedSimulatorMessageException bad(String field, String what) {
        return new MalformedSimulatorMessageException(line, name() + "." + field, what);
    }

    boolean more() {
        return at < parts.length;
    }

    String text(String field) {
        if (!more() || parts[at].isEmpty()) {
            throw bad(field, "is missing");
        }
        return parts[at++];
    }

    String optionalText(String field) {
        String s = text(field);
        return s.equals("-") ? null : s;
    }

    private <T> T parsed(String field, String s, String what, Function<String, T> parse) {
        try {
            return parse.apply(s);
        } catch (RuntimeException e) {
            throw bad(field, "'" + s + "' is no " + what);
        }
    }

    long whole(String field) {
        return parsed(field, text(field), "whole number", Long::parseLong);
    }

    int small(String field) {
        return parsed(field, text(field), "small whole number", Integer::parseInt);
    }

    int small(String field, int absent) {
        String s = optionalText(field);
        return s == null ? absent : parsed(field, s, "small whole number", Integer::parseInt);
    }

    double number(String field, double absent) {
        String s = optionalText(field);
        return s == null ? absent : parsed(field, s, "number", Numbers::parseFinite);
    }

    long time(String field) {
        return Numbers.millisToTicks(number(field, 0));
    }

    boolean flag(String field) {
        String s = text(field);
        return switch (s) {
            case "1" -> true;
            case "0", "-" -> false;
            default -> throw bad(field, "'" + s + "' is neither 0 nor 1");
        };
    }

    <T> T oneOf(String field, Map<String, T> words) {
        String s = text(field);
        T t = words.get(s);
        if (t == null) {
            throw bad(field, "'" + s + "' is unknown");
        }
        return t;
    }

    LoadReport load(String field) {
        String s = optionalText(field);
        if (s == null) {
            return LoadReport.NONE;
        }
        Map<String, Double> out = new HashMap<>();
        for (String pair : s.split(",")) {
            int colon = pair.indexOf(':');
            if (colon < 1) {
                throw bad(field, "'" + pair + "' is no name:value");
            }
            out.put(pair.substring(0, colon), parsed(field, pair.substring(colon + 1), "number", Numbers::parseFinite));
        }
        return new LoadReport(out);
    }

    byte[] bytes(String field) {
        String s = optionalText(field);
        return s == null ? new byte[0] : parsed(field, s, "hex", java.util.HexFormat.of()::parseHex);
    }

    Map<String, String> pairs(String field) {
        Map<String, String> out = new HashMap<>();
        while (more()) {
            String pair = text(field);
            int eq = pair.indexOf('=');
            if (eq < 1) {
                throw bad(field, "'" + pair + "' is no path=value");
            }
            out.put(pair.substring(0, eq), pair.substring(eq + 1));
        }
        return out;
    }
}
