package org.heatherhaven.cli.run;

import com.beust.jcommander.ParameterException;

/** Chooses the form of the log before the first line is written. */
final class Logging {

    private static final String STRUCTURED = "json";

    private static volatile String form = "text";

    private Logging() {}

    static void configure(String format) {
        if (!format.equals("text") && !format.equals(STRUCTURED)) {
            throw new ParameterException("--log must be text or json");
        }
        form = format;
    }

    static boolean structured() {
        return form.equals(STRUCTURED);
    }
}
