package org.heatherhaven.cli.run;

import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.netty.channel.nio.NioEventLoopGroup;
import org.heatherhaven.cli.Command;
import org.heatherhaven.cli.ExitCode;
import org.heatherhaven.standin.platform.PlatformServer;

/** Runs a stand-in for the platform until the process is killed. */
@Parameters(commandDescription = "Run a stand-in for the platform's object API, in memory")
public final class StandinPlatformCommand implements Command {

    @Parameter(names = "--listen", converter = AddressConverter.class, description = "Where to listen")
    private InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 9_700);

    @Parameter(names = "--seed", description = "Start of the choice of lost answers")
    private long seed = 1;

    @Override
    public ExitCode run() throws InterruptedException {
        PlatformServer platform = new PlatformServer(new NioEventLoopGroup(1), seed);
        System.out.println("platform listens at " + platform.listen(listen));
        new CountDownLatch(1).await();
        return ExitCode.OK;
    }
}
