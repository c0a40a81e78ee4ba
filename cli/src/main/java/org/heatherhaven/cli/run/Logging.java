package org.heatherhaven.cli.run;

import com.beust.jcommander.ParameterException;

/** Holds the log format, which must be set before the first line is logged. */
final class Logging {

    private static final String JSON = "json";

    private static volatile String selectedFormat = "text";

    private Logging() {}

    /** Sets the log format, text or json. */
    static void configure(String format) {
        if (!format.equals("text") && !format.equals(JSON)) {
            throw new ParameterException("--log must be text or json");
        }
        selectedFormat = format;
    }

    static boolean usesJson() {
        return selectedFormat.equals(JSON);
    }
}
