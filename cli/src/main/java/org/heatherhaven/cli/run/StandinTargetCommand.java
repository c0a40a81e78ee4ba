package org.heatherhaven.cli.run;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import io.netty.channel.nio.NioEventLoopGroup;
import org.heatherhaven.cli.Command;
import org.heatherhaven.cli.ExitCode;
import org.heatherhaven.standin.http.AnswerFault;
import org.heatherhaven.standin.target.TargetBehavior;
import org.heatherhaven.standin.target.TargetFaults;
import org.heatherhaven.standin.target.TargetServer;

/** Runs a stand-in for a target until the process is killed. */
@Parameters(commandDescription = "Run a stand-in for a target")
public final class StandinTargetCommand implements Command {

    @Parameter(names = "--listen", required = true, converter = AddressConverter.class, description = "Where to listen")
    private InetSocketAddress listen;

    @Parameter(names = "--service", required = true, description = "Service of the target")
    private String service;

    @Parameter(names = "--slots", description = "Calls it works on at a time")
    private int slots = 50;

    @Parameter(names = "--work-ms", description = "Mean time of work for a call")
    private long workMillis = 10;

    @Parameter(names = "--node", required = true, description = "Where its node takes its calls, a URL")
    private String nodeUrl;

    @Parameter(
            names = "--calls",
            description = "Calls it makes for requests under a path, as PATH=CALLED-PATH; may be given several times")
    private List<String> calls = new ArrayList<>();

    @Parameter(
            names = "--fault",
            description = "Fault of answers and the fraction that has it, as NAME=FRACTION; may be given several times")
    private List<String> faults = new ArrayList<>();

    @Parameter(names = "--seed", description = "Start of the random work times")
    private long seed = 1;

    @Override
    public ExitCode run() throws InterruptedException {
        Map<String, List<String>> nestedCalls = new LinkedHashMap<>();
        for (String call : calls) {
            int equals = call.indexOf('=');
            if (equals <= 0) {
                throw new ParameterException("--calls must be PATH=CALLED-PATH");
            }
            nestedCalls
                    .computeIfAbsent(call.substring(0, equals), any -> new ArrayList<>())
                    .add(call.substring(equals + 1));
        }
        TargetServer target = new TargetServer(
                new TargetBehavior(service, slots, Duration.ofMillis(workMillis), nestedCalls),
                nodeUrl,
                new NioEventLoopGroup(2),
                seed);
        target.setFaults(targetFaults());
        System.out.println("target of " + service + " listens at " + target.listen(listen));
        new CountDownLatch(1).await();
        return ExitCode.OK;
    }

    private TargetFaults targetFaults() {
        Map<AnswerFault, Double> fractions = new EnumMap<>(AnswerFault.class);
        try {
            for (String fault : faults) {
                int equals = fault.indexOf('=');
                fractions.put(
                        AnswerFault.of(fault.substring(0, Math.max(0, equals))),
                        Double.valueOf(fault.substring(equals + 1)));
            }
            return new TargetFaults(fractions);
        } catch (IllegalArgumentException e) {
            throw new ParameterException("--fault must be NAME=FRACTION: " + e.getMessage());
        }
    }
}
