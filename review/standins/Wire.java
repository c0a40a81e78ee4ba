package review;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Properties;

/** Names and message templates of the users' pages, from the data file beside the classes. */
public final class Wire {

    private static final Properties NAMES = load();

    private Wire() {}

    private static Properties load() {
        Properties names = new Properties();
        try (InputStream in = Wire.class.getResourceAsStream("/wire.properties")) {
            names.load(new java.io.InputStreamReader(in, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return names;
    }

    /** Returns a name or template. */
    public static String get(String key) {
        String value = NAMES.getProperty(key);
        if (value == null) {
            throw new IllegalArgumentException("no name " + key);
        }
        return value;
    }

    /** Returns a template with its values filled in. */
    public static String fill(String key, Object... values) {
        return String.format(get(key), values);
    }
}
