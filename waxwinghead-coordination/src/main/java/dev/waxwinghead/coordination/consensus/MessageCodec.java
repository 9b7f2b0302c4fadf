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
 * Encodes and decodes consensus messages.
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
     * @param message the message, not null
     * @return the bytes, never null
     */
    public static byte[] encode(Message message) {
        MessagePackWriter writer = new MessagePackWriter();
        if (message instanceof AppendRequest m) {
            writeHeader(writer, APPEND_REQUEST, m.header());
            writer.writeLong(m.previousIndex()).writeLong(m.previousTerm());
            writer.writeLong(m.commitIndex()).writeLong(m.readRound());
            writeEntries(writer, m);
        } else if (message instanceof AppendResponse m) {
            writeHeader(writer, APPEND_RESPONSE, m.header());
            writer.writeBoolean(m.accepted())
                    .writeLong(m.previousIndex())
                    .writeLong(m.index())
                    .writeLong(m.readRound());
        } else if (message instanceof VoteRequest m) {
            writeHeader(writer, VOTE_REQUEST, m.header());
            writer.writeBoolean(m.preVote()).writeLong(m.lastIndex()).writeLong(m.lastTerm());
        } else if (message instanceof VoteResponse m) {
            writeHeader(writer, VOTE_RESPONSE, m.header());
            writer.writeBoolean(m.preVote()).writeBoolean(m.granted());
        } else if (message instanceof SnapshotChunk m) {
            writeHeader(writer, SNAPSHOT_CHUNK, m.header());
            writer.writeLong(m.lastIndex()).writeLong(m.lastTerm()).writeBytes(m.membership());
            writer.writeLong(m.totalBytes())
                    .writeLong(m.offset())
                    .writeBytes(m.data())
                    .writeLong(m.readRound());
        } else if (message instanceof SnapshotResponse m) {
            writeHeader(writer, SNAPSHOT_RESPONSE, m.header());
            writer.writeLong(m.lastIndex()).writeLong(m.nextOffset()).writeLong(m.readRound());
        } else if (message instanceof Resignation m) {
            writeHeader(writer, RESIGNATION, m.header());
        }
        return writer.toBytes();
    }

    /**
     * Decodes a message.
     *
     * @param bytes the encoded message, not null
     * @return the message, never null
     * @throws MalformedMessageException if the bytes aren't exactly one message
     */
    public static Message decode(byte[] bytes) throws MalformedMessageException {
        MessagePackReader reader = new MessagePackReader(bytes);
        long type = reader.readLong();
        Header header = new Header(
                reader.readLong(), reader.readReplicaId(), reader.readReplicaId(), reader.readNonNegativeLong());
        Message message = decodeBody(type, header, reader);
        reader.requireEnd();
        return message;
    }

    private static Message decodeBody(long type, Header header, MessagePackReader reader)
            throws MalformedMessageException {
        if (type == APPEND_REQUEST) {
            return decodeAppendRequest(header, reader);
        }
        if (type == APPEND_RESPONSE) {
            return new AppendResponse(
                    header,
                    reader.readBoolean(),
                    reader.readNonNegativeLong(),
                    reader.readNonNegativeLong(),
                    reader.readNonNegativeLong());
        }
        if (type == VOTE_REQUEST) {
            return new VoteRequest(
                    header, reader.readBoolean(), reader.readNonNegativeLong(), reader.readNonNegativeLong());
        }
        if (type == VOTE_RESPONSE) {
            return new VoteResponse(header, reader.readBoolean(), reader.readBoolean());
        }
        if (type == SNAPSHOT_CHUNK) {
            return decodeSnapshotChunk(header, reader);
        }
        if (type == SNAPSHOT_RESPONSE) {
            return new SnapshotResponse(
                    header, reader.readNonNegativeLong(), reader.readNonNegativeLong(), reader.readNonNegativeLong());
        }
        if (type == RESIGNATION) {
            return new Resignation(header);
        }
        throw new MalformedMessageException("unknown message type " + type);
    }

    private static void writeHeader(MessagePackWriter writer, int type, Header header) {
        writer.writeLong(type)
                .writeLong(header.group())
                .writeString(header.from().value())
                .writeString(header.to().value())
                .writeLong(header.term());
    }

    private static void writeEntries(MessagePackWriter writer, AppendRequest message) {
        writer.writeCount(message.entries().size());
        for (LogEntry entry : message.entries()) {
            writer.writeLong(entry.term()).writeLong(codeOf(entry.kind())).writeBytes(entry.payload());
        }
    }

    private static Message decodeAppendRequest(Header header, MessagePackReader reader)
            throws MalformedMessageException {
        long previousIndex = reader.readNonNegativeLong();
        long previousTerm = reader.readNonNegativeLong();
        long commitIndex = reader.readNonNegativeLong();
        long round = reader.readNonNegativeLong();
        int count = reader.readCount(MAX_ENTRIES);
        List<LogEntry> entries = new ArrayList<>(count);
        for (int i = 1; i <= count; i++) {
            long term = reader.readNonNegativeLong();
            entries.add(new LogEntry(previousIndex + i, term, kindOf(reader.readLong()), reader.readBytes()));
        }
        return new AppendRequest(header, previousIndex, previousTerm, commitIndex, round, entries);
    }

    private static Message decodeSnapshotChunk(Header header, MessagePackReader reader)
            throws MalformedMessageException {
        SnapshotChunk chunk = new SnapshotChunk(
                header,
                reader.readNonNegativeLong(),
                reader.readNonNegativeLong(),
                reader.readBytes(),
                reader.readNonNegativeLong(),
                reader.readNonNegativeLong(),
                reader.readBytes(),
                reader.readNonNegativeLong());
        if (chunk.offset() + chunk.data().length > chunk.totalBytes()) {
            throw new MalformedMessageException("a snapshot chunk extends beyond the stated length of the snapshot");
        }
        return chunk;
    }

    private static int codeOf(LogEntry.Kind kind) {
        return switch (kind) {
            case NO_OP -> NO_OP;
            case COMMAND -> COMMAND;
            case MEMBERSHIP -> MEMBERSHIP;
        };
    }

    private static LogEntry.Kind kindOf(long code) throws MalformedMessageException {
        if (code == NO_OP) {
            return LogEntry.Kind.NO_OP;
        }
        if (code == COMMAND) {
            return LogEntry.Kind.COMMAND;
        }
        if (code == MEMBERSHIP) {
            return LogEntry.Kind.MEMBERSHIP;
        }
        throw new MalformedMessageException("unknown log entry kind " + code);
    }
}
