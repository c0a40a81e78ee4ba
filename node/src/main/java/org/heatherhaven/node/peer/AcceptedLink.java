package org.heatherhaven.node.peer;

import java.util.HashMap;
import java.util.Map;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import org.heatherhaven.core.event.OfferKey;
import org.heatherhaven.core.message.PeerMessage;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.node.wire.BadFrameException;
import org.heatherhaven.node.wire.Frame;
import org.heatherhaven.node.wire.FrameType;
import org.heatherhaven.node.wire.OfferHead;
import org.heatherhaven.node.wire.RefusedHead;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles a connection that a peer opened to this node: offered calls and control messages.
 *
 * <p>All fields are confined to the event loop of the connection.
 */
final class AcceptedLink extends SimpleChannelInboundHandler<Frame> {

    private static final Logger LOGGER = LoggerFactory.getLogger(AcceptedLink.class);
    /** Limit of calls tracked for one connection; further ones are refused. */
    private static final int MAX_CALLS = 10_000;

    /** Number of calls below which finished ones are not swept. */
    private static final int MIN_SWEEP_THRESHOLD = 64;

    private final long number;
    private final PeerServerListener peerListener;
    private final Map<Long, OfferedCall> calls = new HashMap<>();
    private int sweepThreshold = MIN_SWEEP_THRESHOLD;
    private long lastStream;
    private boolean authenticated;

    AcceptedLink(long number, PeerServerListener peerListener) {
        this.number = number;
        this.peerListener = peerListener;
    }

    /** Records that the handshake is complete, so that the end of this connection is reported. */
    void markAuthenticated() {
        authenticated = true;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        if (frame.type().isControl()) {
            peerListener.messageReceived((PeerMessage) frame.payload());
        } else if (frame.type() == FrameType.OFFER) {
            handleOffer(ctx, frame);
        } else if (frame.type() != FrameType.KEEPALIVE) {
            handleCallFrame(ctx, frame);
        }
    }

    private void handleOffer(ChannelHandlerContext ctx, Frame frame) {
        if (calls.size() >= sweepThreshold) {
            calls.values().removeIf(OfferedCall::hasEnded);
            // A threshold of twice the open calls keeps the cost of sweeping constant per call.
            sweepThreshold = Math.max(MIN_SWEEP_THRESHOLD, 2 * calls.size());
        }
        if (frame.stream() <= lastStream) {
            LOGGER.warn("Connection {} is closed: call {} was offered out of order", number, frame.stream());
            peerListener.connectionRejected();
            ctx.close();
            return;
        }
        lastStream = frame.stream();
        if (calls.size() >= MAX_CALLS) {
            refuse(ctx, frame.stream(), Reason.NODE_OVERLOADED, "too many calls on one connection");
            return;
        }
        OfferKey key = new OfferKey(number, frame.stream());
        calls.put(frame.stream(), peerListener.callOffered(key, (OfferHead) frame.payload(), ctx.channel()));
    }

    private void handleCallFrame(ChannelHandlerContext ctx, Frame frame) {
        OfferedCall call = calls.get(frame.stream());
        if (call == null || call.hasEnded()) {
            // The call ended while this frame was in flight.
            calls.remove(frame.stream());
            frame.data().release();
            return;
        }
        switch (frame.type()) {
            case CHUNK -> call.chunkReceived(frame.data());
            case BODY_END -> call.bodyEnded();
            case CREDIT -> call.creditReceived((Integer) frame.payload());
            case CANCEL -> call.cancelled();
            default -> {
                frame.data().release();
                call.cancelled();
            }
        }
    }

    /** Refuses a call that was not handed on, so that its sender can try another node. */
    private static void refuse(ChannelHandlerContext ctx, long stream, Reason reason, String detail) {
        RefusedHead refused = new RefusedHead(Refusal.notRun(reason, detail), Signal.withoutOverload(0));
        ctx.writeAndFlush(Frame.of(FrameType.REFUSED, stream, refused));
    }

    /** Ends the call of a frame that can't be decoded; the other calls of the connection go on. */
    private void badFrame(ChannelHandlerContext ctx, BadFrameException bad) {
        LOGGER.warn(
                "Connection {}: a frame of type {} of call {} can't be decoded and is dropped: {}",
                number,
                bad.typeName(),
                bad.stream(),
                bad.getMessage());
        if (bad.isOffer() && bad.stream() > lastStream) {
            lastStream = bad.stream();
            refuse(ctx, bad.stream(), Reason.LINK_LOST, "the offer of the call can't be decoded");
            return;
        }
        OfferedCall call = calls.get(bad.stream());
        if (call != null && !call.hasEnded()) {
            call.cancelled();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        calls.values().removeIf(OfferedCall::hasEnded);
        if (!(event instanceof IdleStateEvent idle) || calls.isEmpty()) {
            return;
        }
        if (idle.state() == IdleState.READER_IDLE) {
            ctx.close();
        } else if (idle.state() == IdleState.WRITER_IDLE) {
            ctx.writeAndFlush(Frame.withoutPayload(FrameType.KEEPALIVE, 0));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (authenticated) {
            peerListener.connectionClosed(number);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (authenticated && cause.getCause() instanceof BadFrameException bad) {
            badFrame(ctx, bad);
            return;
        }
        LOGGER.warn("Connection {} of a peer is closed after an error: {}", number, cause.toString());
        peerListener.connectionRejected();
        ctx.close();
    }
}
