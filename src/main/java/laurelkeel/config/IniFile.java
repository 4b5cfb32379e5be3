package laurelkeel.config;

import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/**
 * One INI file. The library reads the values; lines are numbered here, since it does not keep them. Readers take
 * what they know through Section; whatever was not asked for by the time of {@link #done()} is unknown and a fault.
 */
public final class IniFile {
    private final String name;
    private final Map<String, IniSection> sections = new LinkedHashMap<>();
    private final List<Fault> faults = new ArrayList<>();
    private final TreeSet<String> askedKinds = new TreeSet<>();

    private record Fault(int line, String text) {}

    private IniFile(String name) {
        this.name = name;
    }

    /** Reads a file. Faults of form are kept for done(); only a file that cannot be read at all throws here. */
    public static IniFile read(Path file) throws InvalidSettingsException {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (NoSuchFileException e) {
            throw new InvalidSettingsException(List.of(file + ": there is no such file"));
        } catch (MalformedInputException e) {
            throw new InvalidSettingsException(List.of(file + ": not UTF-8 text; save it as UTF-8"));
        } catch (IOException e) {
            throw new InvalidSettingsException(List.of(file + ": cannot be read: " + e.getMessage()));
        }
    }

    public static IniFile parse(String name, String text) throws InvalidSettingsException {
        IniFile ini = new IniFile(name);
        ini.number(text);
        INIConfiguration values = new INIConfiguration();
        values.setSeparatorUsedInInput("=");
        try {
            values.read(new StringReader(text.replace("\uFEFF", "")));
        } catch (ConfigurationException | IOException e) {
            throw new InvalidSettingsException(List.of(name + ": not INI: " + e.getMessage()));
        }
        for (String s : values.getSections()) {
            IniSection section = s == null ? null : ini.sections.get(s);
            if (section != null) {
                SubnodeConfiguration in = values.getSection(s);
                in.getKeys().forEachRemaining(k -> section.put(k.replace("..", "."), in.getString(k)));
            }
        }
        return ini;
    }

    private void number(String text) {
        IniSection in = null;
        int n = 0;
        for (String raw : text.split("\n", -1)) {
            n++;
            String line = raw.replace("\uFEFF", "").strip();
            if (line.isEmpty() || line.startsWith("#") || line.startsWith(";")) {
                continue;
            }
            if (line.startsWith("[")) {
                int end = line.indexOf(']');
                if (end < 2) {
                    fault(n, "'" + line + "' is no section; write [name]");
                    in = null;
                    continue;
                }
                String s = line.substring(1, end).strip();
                if (sections.containsKey(s)) {
                    fault(n, "section [" + s + "] stands already on line " + sections.get(s).line + "; join the two");
                }
                in = sections.computeIfAbsent(s, k -> new IniSection(this, k));
                in.line = in.line == 0 ? n : in.line;
            } else {
                int eq = line.indexOf('=');
                if (eq < 1) {
                    fault(n, "'" + line + "' is neither a section, a key = value nor a comment (# or ;)");
                } else if (in == null) {
                    fault(n, "'" + line.substring(0, eq).strip() + "' stands before any section; put it under one");
                } else {
                    in.addLine(line.substring(0, eq).strip(), n);
                }
            }
        }
    }

    void fault(int line, String text) {
        faults.add(new Fault(line, text));
    }

    /** Notes a fault of the whole file. */
    public void addError(String text) {
        fault(0, text);
    }

    /** The lines of the sections of some kinds as they stand, for files made from this one. */
    public String copySections(List<String> kinds) {
        StringBuilder out = new StringBuilder();
        sections.forEach((name, s) -> {
            if (kinds.contains(name.split(" ")[0])) {
                out.append('[').append(name).append("]\n");
                s.copy(out);
            }
        });
        return out.toString();
    }

    /** The section of that name; one that is missing is a fault unless optional. */
    public IniSection section(String section, boolean optional) {
        askedKinds.add(section);
        IniSection s = sections.get(section);
        if (s == null) {
            if (!optional) {
                fault(0, "section [" + section + "] is missing; add it");
            }
            s = new IniSection(this, section);
            s.missing = !optional;
        }
        s.asked = true;
        return s;
    }

    public boolean hasSection(String section) {
        return sections.containsKey(section);
    }

    /** The sections named "kind NAME", by NAME, in the order of the file. */
    public Map<String, IniSection> sectionsOfKind(String kind) {
        askedKinds.add(kind + " NAME");
        Map<String, IniSection> out = new LinkedHashMap<>();
        for (IniSection s : sections.values()) {
            if (s.name.startsWith(kind + " ")) {
                s.asked = true;
                out.put(s.name.substring(kind.length() + 1).strip(), s);
            }
        }
        return out;
    }

    /** Throws all faults found, in the order of their lines, after naming what nobody asked for. */
    public void throwIfInvalid() throws InvalidSettingsException {
        for (IniSection s : sections.values()) {
            if (!s.asked) {
                fault(s.line, "section [" + s.name + "] is unknown" + nearest(s.name, askedKinds));
            } else {
                s.unknown();
            }
        }
        if (!faults.isEmpty()) {
            List<String> told = new ArrayList<>();
            faults.stream()
                    .sorted(java.util.Comparator.comparingInt(Fault::line))
                    .forEach(f -> told.add(name + (f.line > 0 ? ":" + f.line : "") + ": " + f.text));
            throw new InvalidSettingsException(told);
        }
    }

    static String nearest(String word, Iterable<String> known) {
        String best = null;
        int least = Math.max(2, word.length() / 3) + 1;
        for (String k : known) {
            int d = distance(word, k);
            if (d < least) {
                least = d;
                best = k;
            }
        }
        return best == null ? "; known are " + String.join(", ", known) : "; did you mean '" + best + "'?";
    }

    /** Levenshtein's, by rows. */
    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int change = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(change, Math.min(row[j], row[j - 1]) + 1);
            }
        }
        return row[b.length()];
    }
}
