package org.heatherhaven.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterDescription;
import net.jqwik.api.Example;

/** Checks command names, flags and exit codes against recorded texts, because scripts and unit files depend on them. */
class RecordedCommandsTest {

    private static String describe(ParameterDescription flag) {
        return "  " + flag.getNames() + (flag.getParameter().required() ? " required" : "") + ", default ["
                + (flag.getDefault() == null ? "-" : flag.getDefault()) + "]: " + flag.getDescription();
    }

    @Example
    void commandsAndFlagsMatchTheRecordedText() {
        List<String> actual = new ArrayList<>();
        for (Map.Entry<String, Command> command : Main.commands().entrySet()) {
            JCommander parser = JCommander.newBuilder()
                    .addObject(command.getValue())
                    .addObject(new HelpOption())
                    .build();
            // JCommander creates the descriptions of parameters only when it parses.
            parser.parseWithoutValidation();
            actual.add(command.getKey());
            parser.getParameters().stream()
                    .sorted(Comparator.comparing(ParameterDescription::getNames))
                    .forEach(flag -> actual.add(describe(flag)));
            ParameterDescription arguments = parser.getMainParameterValue();
            if (arguments != null) {
                actual.add("  words" + (arguments.getParameter().required() ? " required" : "") + ": "
                        + arguments.getDescription());
            }
        }
        RecordedText.require("flags.txt", actual);
    }

    @Example
    void exitCodesMatchTheRecordedText() {
        List<String> actual = new ArrayList<>();
        for (ExitCode code : ExitCode.values()) {
            actual.add(meaning(code) + ": " + code.code());
        }
        RecordedText.require("exit-codes.txt", actual);
    }

    private static String meaning(ExitCode code) {
        return switch (code) {
            case OK -> "done";
            case REFUSED -> "refused, nothing has changed";
            case USAGE -> "the command line or a file can't be used";
            case UNKNOWN -> "what happened is not known";
            case UNREACHABLE -> "the node could not be reached";
            case FAILED -> "a fault of the program";
        };
    }

    /** Runs a command line that ends before it opens a connection; returns its exit code and output as text. */
    private static String runCommandLine(String... arguments) throws InterruptedException {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream standardOutput = new ByteArrayOutputStream();
        ByteArrayOutputStream standardError = new ByteArrayOutputStream();
        try {
            System.setOut(new PrintStream(standardOutput, true, StandardCharsets.UTF_8));
            System.setErr(new PrintStream(standardError, true, StandardCharsets.UTF_8));
            ExitCode code = Main.run(arguments);
            return "== " + List.of(arguments) + " ends with " + code.code() + "\n" + "out: "
                    + standardOutput.toString(StandardCharsets.UTF_8) + "\nerr: "
                    + standardError.toString(StandardCharsets.UTF_8);
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    @Example
    void invalidCommandLinesPrintTheRecordedTexts() throws InterruptedException {
        List<String> actual = new ArrayList<>();
        actual.add(runCommandLine());
        actual.add(runCommandLine("--help"));
        actual.add(runCommandLine("no-such-command"));
        actual.add(runCommandLine("policy", "no-such-command"));
        actual.add(runCommandLine("status", "--no-such-flag"));
        actual.add(runCommandLine("key", "issue"));
        actual.add(runCommandLine("key", "withdraw"));
        actual.add(runCommandLine("policy", "patch"));
        actual.add(runCommandLine("policy", "patch", "no-such-file.toml"));
        actual.add(runCommandLine("explain"));
        actual.add(runCommandLine("node", "--log", "xml"));
        actual.add(runCommandLine("node", "--settings", "no-such-file.toml"));
        actual.add(runCommandLine("node", "--settings", "no-such-file.toml", "--adapter", "none"));
        actual.add(runCommandLine("standin", "target"));
        actual.add(runCommandLine("standin", "platform", "--listen", "nowhere"));
        for (String command : Main.commands().keySet()) {
            List<String> arguments = new ArrayList<>(List.of(command.split(" ")));
            arguments.add("--help");
            actual.add(runCommandLine(arguments.toArray(new String[0])));
        }
        RecordedText.require("command-lines.txt", actual);
    }
}
