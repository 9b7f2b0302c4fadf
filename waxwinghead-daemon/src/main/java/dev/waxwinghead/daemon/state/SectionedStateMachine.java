package dev.waxwinghead.daemon.state;

import dev.waxwinghead.coordination.log.StateMachine;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.error.WaxwingheadException;
import java.io.IOException;
import java.util.Arrays;
import java.util.Collection;
import java.util.TreeMap;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Dispatches each command to the section whose code is the command's first byte. */
public final class SectionedStateMachine implements StateMachine {
    private final TreeMap<Integer, StateSection> sections = new TreeMap<>();

    private SectionedStateMachine(Collection<StateSection> sections) {
        for (StateSection section : sections) {
            if (this.sections.put(section.id().code(), section) != null) {
                throw new IllegalArgumentException("section " + section.id() + " is registered twice");
            }
        }
    }

    /**
     * Creates a state machine over the given sections.
     *
     * @param sections the sections, with distinct ids
     * @return the state machine, never null
     */
    public static SectionedStateMachine of(Collection<StateSection> sections) {
        return new SectionedStateMachine(sections);
    }

    /**
     * Wraps a section's command into a command of the log.
     *
     * @param section the section
     * @param command the section's command
     * @return the command, prefixed with the section's code, never null
     */
    public static byte[] envelope(SectionId section, byte[] command) {
        byte[] envelope = new byte[command.length + 1];
        envelope[0] = (byte) section.code();
        System.arraycopy(command, 0, envelope, 1, command.length);
        return envelope;
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        StateSection section = sections.get((int) command[0]);
        if (section == null) {
            throw WaxwingheadException.of(
                    ErrorKind.INTERNAL,
                    "log entry " + index + " is for section " + command[0] + ", which this version does not support",
                    "run the version that the other entry hosts run");
        }
        return section.apply(index, Arrays.copyOfRange(command, 1, command.length));
    }

    @Override
    public byte[] snapshot() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packMapHeader(sections.size());
            for (StateSection section : sections.values()) {
                byte[] state = section.snapshot();
                packer.packInt(section.id().code());
                packer.packBinaryHeader(state.length);
                packer.writePayload(state);
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw WaxwingheadException.of(ErrorKind.INTERNAL, "the snapshot can't be packed", "report this fault", e);
        }
    }

    @Override
    public void restore(byte[] snapshot) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(snapshot)) {
            int count = unpacker.unpackMapHeader();
            for (int i = 0; i < count; i++) {
                int code = unpacker.unpackInt();
                byte[] state = unpacker.readPayload(unpacker.unpackBinaryHeader());
                StateSection section = sections.get(code);
                if (section != null) {
                    section.restore(state);
                }
            }
        } catch (IOException e) {
            throw WaxwingheadException.of(
                    ErrorKind.STORAGE,
                    "the snapshot is malformed",
                    "empty this host's data folder; the host then catches up from the others",
                    e);
        }
    }
}
