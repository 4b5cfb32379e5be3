package laurelkeel.platform;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Numbers names in the order of the settings, and further names as they are met. Not thread-safe. */
final class NameTable {
    private final List<String> names;

    NameTable(Collection<String> names) {
        this.names = new ArrayList<>(names);
    }

    /** The number of a name, which it keeps from now on. */
    int indexOf(String name) {
        int index = names.indexOf(name);
        if (index >= 0) {
            return index;
        }
        names.add(name);
        return names.size() - 1;
    }
}
