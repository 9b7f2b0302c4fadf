package dev.waxwinghead.coordination.consensus;

import dev.waxwinghead.coordination.consensus.Message.AppendRequest;
import dev.waxwinghead.coordination.consensus.Message.AppendResponse;
import dev.waxwinghead.coordination.consensus.Message.Header;
import dev.waxwinghead.coordination.consensus.Message.Resignation;
import dev.waxwinghead.coordination.consensus.Message.SnapshotChunk;
import dev.waxwinghead.coordination.consensus.Message.SnapshotResponse;
import dev.waxwinghead.coordination.consensus.Message.VoteRequest;
import dev.waxwinghead.coordination.consensus.Message.VoteResponse;
import dev.waxwinghead.coordination.storage.LogEntry;
import java.util.ArrayList;
import java.util.List;

/**
 * Turns messages into bytes and back.
 *
 * @since 0.1
 */
public final class MessageCodec {
    private static final int VOTE_REQUEST = 1;
    private static final int VOTE_RESPONSE = 2;
    private static final int APPEND_REQUEST = 3;
    private static final int APPEND_RESPONSE = 4;
    private static final int SNAPSHOT_CHUNK = 5;
    private static final int SNAPSHOT_RESPONSE = 6;
    private static final int RESIGNATION = 7;
    private static final int MAX_ENTRIES = 1 << 20;
    private static final int NO_OP = 0;
    private static final int COMMAND = 1;
    private static final int MEMBERSHIP = 2;

    private MessageCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the bytes, never null
     */
    public static byte[] encode(Message message) {
        PackWriter writer = new PackWriter();
        if (message instanceof AppendRequest m) {
            header(writer, APPEND_REQUEST, m.header());
            writer.number(m.previousIndex()).number(m.previousTerm());
            writer.number(m.commitIndex()).number(m.round());
            entries(writer, m);
        } else if (message instanceof AppendResponse m) {
            header(writer, APPEND_RESPONSE, m.header());
            writer.flag(m.accepted())
                    .number(m.previousIndex())
                    .number(m.index())
                    .number(m.round());
        } else if (message instanceof VoteRequest m) {
            header(writer, VOTE_REQUEST, m.header());
            writer.flag(m.preVote()).number(m.lastIndex()).number(m.lastTerm());
        } else if (message instanceof VoteResponse m) {
            header(writer, VOTE_RESPONSE, m.header());
            writer.flag(m.preVote()).flag(m.granted());
        } else if (message instanceof SnapshotChunk m) {
            header(writer, SNAPSHOT_CHUNK, m.header());
            writer.number(m.lastIndex()).number(m.lastTerm()).bytes(m.membership());
            writer.number(m.totalBytes()).number(m.offset()).bytes(m.data()).number(m.round());
        } else if (message instanceof SnapshotResponse m) {
            header(writer, SNAPSHOT_RESPONSE, m.header());
            writer.number(m.lastIndex()).number(m.nextOffset()).number(m.round());
        } else if (message instanceof Resignation m) {
            header(writer, RESIGNATION, m.header());
        }
        return writer.toBytes();
    }

    /**
     * Decodes a message.
     *
     * @param bytes the bytes
     * @return the message, never null
     * @throws MalformedMessageException if the bytes are not exactly one message
     */
    public static Message decode(byte[] bytes) throws MalformedMessageException {
        PackReader reader = new PackReader(bytes);
        long type = reader.number();
        Header header = new Header(reader.number(), reader.replica(), reader.replica(), reader.position());
        Message message = body(type, header, reader);
        reader.end();
        return message;
    }

    private static Message body(long type, Header header, PackReader reader) throws MalformedMessageException {
        if (type == APPEND_REQUEST) {
            return appendRequest(header, reader);
        }
        if (type == APPEND_RESPONSE) {
            return new AppendResponse(header, reader.flag(), reader.position(), reader.position(), reader.position());
        }
        if (type == VOTE_REQUEST) {
            return new VoteRequest(header, reader.flag(), reader.position(), reader.position());
        }
        if (type == VOTE_RESPONSE) {
            return new VoteResponse(header, reader.flag(), reader.flag());
        }
        if (type == SNAPSHOT_CHUNK) {
            return snapshotChunk(header, reader);
        }
        if (type == SNAPSHOT_RESPONSE) {
            return new SnapshotResponse(header, reader.position(), reader.position(), reader.position());
        }
        if (type == RESIGNATION) {
            return new Resignation(header);
        }
        throw new MalformedMessageException("unknown type " + type);
    }

    private static void header(PackWriter writer, int type, Header header) {
        writer.number(type)
                .number(header.group())
                .text(header.from().value())
                .text(header.to().value())
                .number(header.term());
    }

    private static void entries(PackWriter writer, AppendRequest message) {
        writer.count(message.entries().size());
        for (LogEntry entry : message.entries()) {
            writer.number(entry.term()).number(code(entry.kind())).bytes(entry.payload());
        }
    }

    private static Message appendRequest(Header header, PackReader reader) throws MalformedMessageException {
        long previousIndex = reader.position();
        long previousTerm = reader.position();
        long commitIndex = reader.position();
        long round = reader.position();
        int count = reader.count(MAX_ENTRIES);
        List<LogEntry> entries = new ArrayList<>(count);
        for (int i = 1; i <= count; i++) {
            long term = reader.position();
            entries.add(new LogEntry(previousIndex + i, term, kind(reader.number()), reader.bytes()));
        }
        return new AppendRequest(header, previousIndex, previousTerm, commitIndex, round, entries);
    }

    private static Message snapshotChunk(Header header, PackReader reader) throws MalformedMessageException {
        SnapshotChunk chunk = new SnapshotChunk(
                header,
                reader.position(),
                reader.position(),
                reader.bytes(),
                reader.position(),
                reader.position(),
                reader.bytes(),
                reader.position());
        if (chunk.offset() + chunk.data().length > chunk.totalBytes()) {
            throw new MalformedMessageException("a part of a snapshot goes past its end");
        }
        return chunk;
    }

    private static int code(LogEntry.Kind kind) {
        return switch (kind) {
            case NO_OP -> NO_OP;
            case COMMAND -> COMMAND;
            case MEMBERSHIP -> MEMBERSHIP;
        };
    }

    private static LogEntry.Kind kind(long code) throws MalformedMessageException {
        if (code == NO_OP) {
            return LogEntry.Kind.NO_OP;
        }
        if (code == COMMAND) {
            return LogEntry.Kind.COMMAND;
        }
        if (code == MEMBERSHIP) {
            return LogEntry.Kind.MEMBERSHIP;
        }
        throw new MalformedMessageException("unknown kind of entry " + code);
    }
}
