package org.heatherhaven.cli.run;

import com.beust.jcommander.ParameterException;

/** Chooses the form of the log before the first line is written. */
final class Logging {

    private Logging() {}

    static void configure(String format) {
        if (!format.equals("text") && !format.equals("json")) {
            throw new ParameterException("--log must be text or json");
        }
        System.setProperty("logback.configurationFile", "logback-" + format + ".xml");
    }
}
