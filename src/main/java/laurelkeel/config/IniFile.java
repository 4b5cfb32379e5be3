package laurelkeel.config;

import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.jspecify.annotations.Nullable;

/**
 * One INI file while it is read. The values come from a library that keeps no line numbers, which are therefore counted
 * here. Readers take what they know through {@link IniSection}; whatever nobody asked for by the time of
 * {@link #throwIfInvalid} is unknown and an error. Not thread-safe.
 */
public final class IniFile {
    private static final String BYTE_ORDER_MARK = "\uFEFF";

    /** The line of an error of the whole file. */
    private static final int NO_LINE = 0;

    private record Problem(int line, String text) {}

    private final String name;
    private final Map<String, IniSection> sections = new LinkedHashMap<>();
    private final List<Problem> errors = new ArrayList<>();
    /** What was asked for, as a user would write it. */
    private final TreeSet<String> knownSections = new TreeSet<>();

    private IniFile(String name) {
        this.name = name;
    }

    /**
     * Reads a file. Errors of form are kept for {@link #throwIfInvalid}.
     *
     * @throws InvalidSettingsException where the file cannot be read at all
     */
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

    /**
     * Reads a text. Errors of form are kept for {@link #throwIfInvalid}.
     *
     * @param name of the text in errors
     * @throws InvalidSettingsException where the text is not INI at all
     */
    public static IniFile parse(String name, String text) throws InvalidSettingsException {
        IniFile file = new IniFile(name);
        file.indexLines(text);
        file.readValues(text);
        return file;
    }

    private void readValues(String text) throws InvalidSettingsException {
        INIConfiguration values = new INIConfiguration();
        values.setSeparatorUsedInInput("=");
        try {
            values.read(new StringReader(text.replace(BYTE_ORDER_MARK, "")));
        } catch (ConfigurationException | IOException e) {
            throw new InvalidSettingsException(List.of(name + ": not INI: " + e.getMessage()));
        }
        for (String sectionName : values.getSections()) {
            IniSection section = sectionName == null ? null : sections.get(sectionName);
            if (section != null) {
                SubnodeConfiguration sectionValues = values.getSection(sectionName);
                // the library doubles the dots of a key
                sectionValues
                        .getKeys()
                        .forEachRemaining(key -> section.put(key.replace("..", "."), sectionValues.getString(key)));
            }
        }
    }

    /** Finds the lines of all sections and keys, and errors of form. */
    private void indexLines(String text) {
        IniSection section = null;
        int number = 0;
        for (String rawLine : text.split("\n", -1)) {
            number++;
            String line = rawLine.replace(BYTE_ORDER_MARK, "").strip();
            if (line.isEmpty() || line.startsWith("#") || line.startsWith(";")) {
                continue;
            }
            if (line.startsWith("[")) {
                section = indexSection(line, number);
            } else {
                indexKey(section, line, number);
            }
        }
    }

    private @Nullable IniSection indexSection(String line, int number) {
        int end = line.indexOf(']');
        if (end < 2) {
            addError(number, "'" + line + "' is no section; write [name]");
            return null;
        }
        String sectionName = line.substring(1, end).strip();
        IniSection known = sections.get(sectionName);
        if (known != null) {
            addError(number, "section [" + sectionName + "] stands already on line " + known.line() + "; join the two");
            return known;
        }
        IniSection section = new IniSection(this, sectionName, number, false);
        sections.put(sectionName, section);
        return section;
    }

    private void indexKey(@Nullable IniSection section, String line, int number) {
        int separator = line.indexOf('=');
        if (separator < 1) {
            addError(number, "'" + line + "' is neither a section, a key = value nor a comment (# or ;)");
            return;
        }
        String key = line.substring(0, separator).strip();
        if (section == null) {
            addError(number, "'" + key + "' stands before any section; put it under one");
        } else {
            section.addKey(key, number);
        }
    }

    void addError(int line, String text) {
        errors.add(new Problem(line, text));
    }

    /** Adds an error of the whole file. */
    public void addError(String text) {
        addError(NO_LINE, text);
    }

    /**
     * The lines of sections as they stand, for files made from this one.
     *
     * @param kinds the first words of the sections' names
     */
    public String copySections(List<String> kinds) {
        StringBuilder copy = new StringBuilder();
        sections.forEach((sectionName, section) -> {
            if (kinds.contains(kindOf(sectionName))) {
                copy.append('[').append(sectionName).append("]\n");
                section.copyTo(copy);
            }
        });
        return copy.toString();
    }

    private static String kindOf(String sectionName) {
        int space = sectionName.indexOf(' ');
        return space < 0 ? sectionName : sectionName.substring(0, space);
    }

    /** The section of a name; one that is missing is an error unless it is optional. */
    public IniSection section(String sectionName, boolean optional) {
        knownSections.add(sectionName);
        IniSection section = sections.get(sectionName);
        if (section == null) {
            if (!optional) {
                addError("section [" + sectionName + "] is missing; add it");
            }
            return new IniSection(this, sectionName, NO_LINE, !optional);
        }
        section.markAsKnown();
        return section;
    }

    /** Whether a section stands in the file. */
    public boolean hasSection(String sectionName) {
        return sections.containsKey(sectionName);
    }

    /** The sections named "kind NAME", by NAME, in the order of the file. */
    public Map<String, IniSection> sectionsOfKind(String kind) {
        knownSections.add(kind + " NAME");
        String prefix = kind + " ";
        Map<String, IniSection> found = new LinkedHashMap<>();
        sections.forEach((sectionName, section) -> {
            if (sectionName.startsWith(prefix)) {
                section.markAsKnown();
                found.put(sectionName.substring(prefix.length()).strip(), section);
            }
        });
        return found;
    }

    /**
     * Ends the reading: adds an error for whatever nobody asked for.
     *
     * @throws InvalidSettingsException where there are errors; it lists all in the order of their lines
     */
    public void throwIfInvalid() throws InvalidSettingsException {
        sections.forEach((sectionName, section) -> {
            if (section.isKnown()) {
                section.addErrorsForUnknownKeys();
            } else {
                addError(
                        section.line(),
                        "section [" + sectionName + "] is unknown"
                                + SpellingSuggestion.suggest(sectionName, knownSections));
            }
        });
        if (!errors.isEmpty()) {
            throw new InvalidSettingsException(errors.stream()
                    .sorted(Comparator.comparingInt(Problem::line))
                    .map(this::describe)
                    .toList());
        }
    }

    private String describe(Problem problem) {
        return name + (problem.line > NO_LINE ? ":" + problem.line : "") + ": " + problem.text;
    }
}
