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
 * An INI file that is being read. The values are parsed by a library that does not report line numbers, so this class
 * finds them itself. Readers request sections here and their keys through {@link IniSection}; every section or key that
 * was not requested before {@link #throwIfInvalid} is reported as unknown. Not thread-safe.
 */
public final class IniFile {
    private static final String BYTE_ORDER_MARK = "\uFEFF";

    /** The line number of an error that concerns the whole file. */
    private static final int NO_LINE = 0;

    private record Problem(int line, String text) {}

    private final String name;
    private final Map<String, IniSection> sections = new LinkedHashMap<>();
    private final List<Problem> errors = new ArrayList<>();
    /** The names of the requested sections, in the form that a user would write. */
    private final TreeSet<String> knownSections = new TreeSet<>();

    private IniFile(String name) {
        this.name = name;
    }

    /**
     * Reads a file. Syntax errors in single lines are collected for {@link #throwIfInvalid}.
     *
     * @throws InvalidSettingsException if the file cannot be read or is not INI at all
     */
    public static IniFile read(Path file) throws InvalidSettingsException {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (NoSuchFileException e) {
            throw new InvalidSettingsException(List.of(file + ": no such file"));
        } catch (MalformedInputException e) {
            throw new InvalidSettingsException(List.of(file + ": not UTF-8 text; save it as UTF-8"));
        } catch (IOException e) {
            throw new InvalidSettingsException(List.of(file + ": cannot be read: " + e.getMessage()));
        }
    }

    /**
     * Parses a text. Syntax errors in single lines are collected for {@link #throwIfInvalid}.
     *
     * @param name the name of the text in error messages
     * @throws InvalidSettingsException if the text is not INI at all
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
            throw new InvalidSettingsException(List.of(name + ": not a valid INI file: " + e.getMessage()));
        }
        for (String sectionName : values.getSections()) {
            IniSection section = sectionName == null ? null : sections.get(sectionName);
            if (section != null) {
                SubnodeConfiguration sectionValues = values.getSection(sectionName);
                // the library escapes each dot in a key by doubling it
                sectionValues
                        .getKeys()
                        .forEachRemaining(key -> section.put(key.replace("..", "."), sectionValues.getString(key)));
            }
        }
    }

    /** Finds the line numbers of all sections and keys, and records syntax errors. */
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
            addError(number, "'" + line + "' is not a section header; write [name]");
            return null;
        }
        String sectionName = line.substring(1, end).strip();
        IniSection existing = sections.get(sectionName);
        if (existing != null) {
            addError(
                    number,
                    "section [" + sectionName + "] already exists on line " + existing.line() + "; merge the two");
            return existing;
        }
        IniSection section = new IniSection(this, sectionName, number, false);
        sections.put(sectionName, section);
        return section;
    }

    private void indexKey(@Nullable IniSection section, String line, int number) {
        int separator = line.indexOf('=');
        if (separator < 1) {
            addError(number, "'" + line + "' is not a [section], a key = value pair or a comment (# or ;)");
            return;
        }
        String key = line.substring(0, separator).strip();
        if (section == null) {
            addError(number, "'" + key + "' is outside of any section; move it below a section header");
        } else {
            section.addKey(key, number);
        }
    }

    void addError(int line, String text) {
        errors.add(new Problem(line, text));
    }

    /** Records an error that concerns the whole file. */
    public void addError(String text) {
        addError(NO_LINE, text);
    }

    /**
     * Returns the text of all sections of some kinds with their keys and values, for files derived from this one.
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

    /** Returns the section with a name. Unless it is optional, a missing section is recorded as an error. */
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

    /** Returns whether the file contains a section. */
    public boolean hasSection(String sectionName) {
        return sections.containsKey(sectionName);
    }

    /** Returns the sections named "kind NAME", keyed by NAME, in the order of the file. */
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
     * Ends the reading: records an error for each section and key that was not requested, and throws if there is any error.
     *
     * @throws InvalidSettingsException if there are errors; it lists all of them in the order of their lines
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
