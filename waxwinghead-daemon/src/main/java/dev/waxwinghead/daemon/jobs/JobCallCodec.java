package dev.waxwinghead.daemon.jobs;

import dev.waxwinghead.daemon.codec.MessagePackCodec;
import dev.waxwinghead.model.error.ErrorKind;
import dev.waxwinghead.model.id.HostId;
import dev.waxwinghead.model.id.JobId;
import dev.waxwinghead.scheduling.job.JobState;
import dev.waxwinghead.scheduling.job.JobSubmission;
import java.io.IOException;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;
import org.msgpack.core.MessageUnpacker;

/** Encodes calls about jobs and their answers as MessagePack. */
final class JobCallCodec {
    private static final int SUBMIT = 1;
    private static final int READ = 2;
    private static final int CANCEL = 3;
    private static final int ACCEPTED = 1;
    private static final int KNOWN = 2;
    private static final int ABSENT = 3;
    private static final int QUEUED = 4;
    private static final int NOT_ACTING = 5;
    private static final int OTHER_EPOCH = 6;
    private static final int REFUSED = 7;

    /** Placeholder for the id of a submitted job, which the receiver derives from the target of the call. */
    private static final JobId UNRESOLVED = JobId.of("unresolved");

    private JobCallCodec() {}

    static byte[] pack(JobCall call) {
        return MessagePackCodec.pack(packer -> {
            packer.packInt(type(call));
            packer.packString(call.target().host()).packString(call.target().path());
            if (call instanceof JobCall.Submit submit) {
                JobCodec.packSubmission(
                        packer, new JobSubmission(UNRESOLVED, submit.payload(), submit.steps(), submit.schedule()));
            }
        });
    }

    /** Returns the encoding of an attempt: the packed call, followed by the epoch. */
    static byte[] attempt(byte[] packedCall, long epoch) {
        byte[] suffix = MessagePackCodec.pack(packer -> packer.packLong(epoch));
        byte[] attempt = Arrays.copyOf(packedCall, packedCall.length + suffix.length);
        System.arraycopy(suffix, 0, attempt, packedCall.length, suffix.length);
        return attempt;
    }

    static JobAttempt unpackAttempt(byte[] bytes) {
        return MessagePackCodec.unpack(bytes, unpacker -> {
            JobCall call = unpackCall(unpacker);
            // Attempts of entry hosts of earlier versions end here.
            OptionalLong epoch = unpacker.hasNext() ? OptionalLong.of(unpacker.unpackLong()) : OptionalLong.empty();
            return new JobAttempt(call, epoch);
        });
    }

    static byte[] pack(JobAnswer answer) {
        return MessagePackCodec.pack(packer -> {
            if (answer instanceof JobAnswer.Accepted) {
                packer.packInt(ACCEPTED);
            } else if (answer instanceof JobAnswer.Known known) {
                packer.packInt(KNOWN).packInt(known.state().code());
            } else if (answer instanceof JobAnswer.Absent) {
                packer.packInt(ABSENT);
            } else if (answer instanceof JobAnswer.Queued queued) {
                packer.packInt(QUEUED).packInt(queued.jobs());
            } else if (answer instanceof JobAnswer.NotActing notActing) {
                packer.packInt(NOT_ACTING);
                MessagePackCodec.optional(packer, notActing.leader().orElse(null));
            } else if (answer instanceof JobAnswer.OtherEpoch other) {
                packer.packInt(OTHER_EPOCH).packLong(other.epoch());
            } else if (answer instanceof JobAnswer.Refused refused) {
                packer.packInt(REFUSED).packString(refused.kind().code());
                packer.packString(refused.reason()).packString(refused.remedy());
            }
        });
    }

    static JobAnswer unpackAnswer(byte[] bytes) {
        return MessagePackCodec.unpack(bytes, unpacker -> {
            int type = unpacker.unpackInt();
            return switch (type) {
                case ACCEPTED -> new JobAnswer.Accepted();
                case KNOWN -> new JobAnswer.Known(JobState.ofCode(unpacker.unpackInt()));
                case ABSENT -> new JobAnswer.Absent();
                case QUEUED -> new JobAnswer.Queued(unpacker.unpackInt());
                case NOT_ACTING ->
                    new JobAnswer.NotActing(Optional.ofNullable(MessagePackCodec.optional(unpacker))
                            .map(HostId::of));
                case OTHER_EPOCH -> new JobAnswer.OtherEpoch(unpacker.unpackLong());
                case REFUSED ->
                    new JobAnswer.Refused(
                            ErrorKind.ofCode(unpacker.unpackString()),
                            unpacker.unpackString(),
                            unpacker.unpackString());
                default -> throw new IOException("unknown answer type " + type);
            };
        });
    }

    private static int type(JobCall call) {
        if (call instanceof JobCall.Submit) {
            return SUBMIT;
        }
        return call instanceof JobCall.Read ? READ : CANCEL;
    }

    private static JobCall unpackCall(MessageUnpacker unpacker) throws IOException {
        int type = unpacker.unpackInt();
        JobTarget target = new JobTarget(unpacker.unpackString(), unpacker.unpackString());
        return switch (type) {
            case SUBMIT -> {
                JobSubmission submission = JobCodec.unpackSubmission(unpacker);
                yield new JobCall.Submit(target, submission.payload(), submission.steps(), submission.schedule());
            }
            case READ -> new JobCall.Read(target);
            case CANCEL -> new JobCall.Cancel(target);
            default -> throw new IOException("unknown call type " + type);
        };
    }
}
