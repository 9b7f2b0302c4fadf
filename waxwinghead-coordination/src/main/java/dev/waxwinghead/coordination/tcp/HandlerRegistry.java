package dev.waxwinghead.coordination.tcp;

import dev.waxwinghead.coordination.peer.PeerChannel;
import dev.waxwinghead.coordination.peer.PeerNetwork;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import dev.waxwinghead.model.id.HostId;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** Registers the handlers of each channel and dispatches messages and calls to them. */
final class HandlerRegistry {
    private final Map<PeerChannel, PeerNetwork.MessageHandler> messageHandlers = new ConcurrentHashMap<>();
    private final Map<PeerChannel, PeerNetwork.CallHandler> callHandlers = new ConcurrentHashMap<>();

    void onMessage(PeerChannel channel, PeerNetwork.MessageHandler handler) {
        messageHandlers.put(channel, handler);
    }

    void onCall(PeerChannel channel, PeerNetwork.CallHandler handler) {
        callHandlers.put(channel, handler);
    }

    /** Passes a message to its handler; returns false if no handler is registered for the channel. */
    boolean dispatchMessage(HostId from, Frame.Message message) {
        PeerNetwork.MessageHandler handler = messageHandlers.get(message.channel());
        if (handler == null) {
            return false;
        }
        handler.receive(from, message.payload());
        return true;
    }

    CompletableFuture<byte[]> dispatchCall(HostId from, Frame.Call call) {
        PeerNetwork.CallHandler handler = callHandlers.get(call.channel());
        if (handler == null) {
            return CompletableFuture.failedFuture(WaxwingheadException.of(
                    ErrorKind.UNAVAILABLE,
                    "no handler is registered for calls on channel " + call.channel() + " yet",
                    "repeat the call later"));
        }
        try {
            return handler.answer(from, call.payload());
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }
}
