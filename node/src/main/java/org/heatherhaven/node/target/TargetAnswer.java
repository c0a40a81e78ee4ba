package org.heatherhaven.node.target;

import java.net.InetSocketAddress;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;

/** Hears the target's answer on the client's threads, and passes it to its call. */
final class TargetAnswer implements AsyncHandler<Void> {

    private static final int SERVICE_UNAVAILABLE = 503;

    private final GuardedCall call;
    private int status;
    private boolean overloaded;
    private volatile Channel channel;

    TargetAnswer(GuardedCall call) {
        this.call = call;
    }

    @Override
    public void onTcpConnectSuccess(InetSocketAddress remote, Channel connection) {
        channel = connection;
    }

    @Override
    public void onConnectionPooled(Channel connection) {
        channel = connection;
    }

    /** Stops or resumes reading from the target. */
    void setReading(boolean reading) {
        Channel connection = channel;
        if (connection != null) {
            connection.config().setAutoRead(reading);
        }
    }

    @Override
    public State onStatusReceived(HttpResponseStatus responseStatus) {
        status = responseStatus.getStatusCode();
        overloaded = status == SERVICE_UNAVAILABLE;
        return State.CONTINUE;
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
        if (!overloaded) {
            call.targetAnswered(status, headers);
        }
        return State.CONTINUE;
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) {
        byte[] bytes = part.getBodyPartBytes();
        if (!overloaded && bytes.length > 0) {
            ByteBuf data = Unpooled.wrappedBuffer(bytes);
            call.targetSent(data);
        }
        return State.CONTINUE;
    }

    @Override
    public Void onCompleted() {
        setReading(true);
        call.targetCompleted(overloaded);
        return null;
    }

    @Override
    public void onThrowable(Throwable cause) {
        call.targetFailed(cause);
    }
}
