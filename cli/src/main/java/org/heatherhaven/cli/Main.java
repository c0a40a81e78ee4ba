package org.heatherhaven.cli;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import org.heatherhaven.cli.measure.DemoCommand;
import org.heatherhaven.cli.measure.MeasureCommand;
import org.heatherhaven.cli.operator.ExplainCommand;
import org.heatherhaven.cli.operator.KeyIssueCommand;
import org.heatherhaven.cli.operator.KeyWithdrawCommand;
import org.heatherhaven.cli.operator.OperatorException;
import org.heatherhaven.cli.operator.PolicyHistoryCommand;
import org.heatherhaven.cli.operator.PolicyPatchCommand;
import org.heatherhaven.cli.operator.PolicyShowCommand;
import org.heatherhaven.cli.operator.StatusCommand;
import org.heatherhaven.cli.run.NodeCommand;
import org.heatherhaven.cli.run.StandinPlatformCommand;
import org.heatherhaven.cli.run.StandinTargetCommand;
import org.heatherhaven.node.settings.SettingsException;

/** Entry point of the command line: selects a command by name, parses its options and runs it. */
public final class Main {

    private static final String PROGRAM = "heatherhaven";

    private Main() {}

    /**
     * Runs a command and halts the process with its exit code.
     *
     * @param args command name, followed by its options
     * @throws InterruptedException if the thread is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        ExitCode code = run(args);
        System.out.flush();
        Runtime.getRuntime().halt(code.code());
    }

    static Map<String, Command> commands() {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("node", new NodeCommand());
        commands.put("policy show", new PolicyShowCommand());
        commands.put("policy patch", new PolicyPatchCommand());
        commands.put("policy history", new PolicyHistoryCommand());
        commands.put("key issue", new KeyIssueCommand());
        commands.put("key withdraw", new KeyWithdrawCommand());
        commands.put("status", new StatusCommand());
        commands.put("explain", new ExplainCommand());
        commands.put("standin platform", new StandinPlatformCommand());
        commands.put("standin target", new StandinTargetCommand());
        commands.put("measure", new MeasureCommand());
        commands.put("demo", new DemoCommand());
        return commands;
    }

    static ExitCode run(String[] args) throws InterruptedException {
        Map<String, Command> commands = commands();
        List<String> words = new ArrayList<>(Arrays.asList(args));
        String name = words.isEmpty() ? "" : words.remove(0);
        if (!commands.containsKey(name) && !words.isEmpty()) {
            name = name + " " + words.remove(0);
        }
        Command command = commands.get(name);
        if (command == null) {
            return printUsage(commands, args);
        }
        JCommander parser = JCommander.newBuilder()
                .programName(PROGRAM + " " + name)
                .addObject(command)
                .addObject(new HelpOption())
                .build();
        return parseAndRun(parser, command, words);
    }

    private static ExitCode parseAndRun(JCommander parser, Command command, List<String> words)
            throws InterruptedException {
        if (words.contains("--help")) {
            parser.usage();
            return ExitCode.OK;
        }
        try {
            parser.parse(words.toArray(new String[0]));
            return command.run();
        } catch (ParameterException | SettingsException e) {
            System.err.println(PROGRAM + ": " + e.getMessage());
            return ExitCode.USAGE;
        } catch (InterruptedException e) {
            throw e;
        } catch (Exception e) {
            if (e instanceof OperatorException operatorError) {
                System.err.println(PROGRAM + ": " + e.getMessage());
                return operatorError.exitCode();
            }
            // Returning the code halts the process; an uncaught exception would leave it running on its other threads.
            // Netty throws checked exceptions without declaring them, such as the one for an address in use.
            e.printStackTrace();
            return ExitCode.FAILED;
        }
    }

    private static ExitCode printUsage(Map<String, Command> commands, String[] args) {
        boolean helpRequested = args.length > 0 && args[0].equals("--help");
        (helpRequested ? System.out : System.err)
                .println("usage: " + PROGRAM + " COMMAND [--help]\ncommands: " + String.join(", ", commands.keySet()));
        return helpRequested ? ExitCode.OK : ExitCode.USAGE;
    }
}
