package laurelkeel.platform;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Assigns indexes to names: first to those of the settings in their order, then to others as they occur. Not
 * thread-safe.
 */
final class NameTable {
    private final List<String> names;

    NameTable(Collection<String> names) {
        this.names = new ArrayList<>(names);
    }

    /** Returns the index of a name; a new name gets the next index. */
    int indexOf(String name) {
        int index = names.indexOf(name);
        if (index >= 0) {
            return index;
        }
        names.add(name);
        return names.size() - 1;
    }
}
