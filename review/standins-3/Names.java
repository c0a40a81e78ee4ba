package review3;

import java.io.IOException;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Properties;

/** Names and bodies of the users' pages, read from the data files beside the sources. */
final class Names {

    private static final Path FOLDER = Path.of("review/standins-3");
    private static final Properties NAMES = load();

    private Names() {}

    private static Properties load() {
        Properties names = new Properties();
        try (Reader reader = Files.newBufferedReader(FOLDER.resolve("names.properties"))) {
            names.load(reader);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return names;
    }

    static String of(String key) {
        String name = NAMES.getProperty(key);
        if (name == null) {
            throw new IllegalArgumentException("no name for " + key);
        }
        return name;
    }

    /** Returns a body with its placeholders filled in. */
    static String body(String file, Map<String, ?> values) {
        try {
            String text = Files.readString(FOLDER.resolve(file)).trim();
            for (Map.Entry<String, ?> value : values.entrySet()) {
                text = text.replace("@" + value.getKey() + "@", value.getValue().toString());
            }
            return text;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
