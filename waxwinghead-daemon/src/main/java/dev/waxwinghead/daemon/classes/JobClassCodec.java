package dev.waxwinghead.daemon.classes;

import dev.waxwinghead.daemon.codec.MessagePackCodec;
import dev.waxwinghead.model.id.JobClassName;
import dev.waxwinghead.model.id.ServiceName;
import dev.waxwinghead.scheduling.job.JobTerms;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes job classes as MessagePack. */
public final class JobClassCodec {
    private JobClassCodec() {}

    /**
     * Encodes a document.
     *
     * @param document the document
     * @return the bytes, never null
     */
    public static byte[] pack(JobClassDocument document) {
        return MessagePackCodec.pack(packer -> {
            packer.packLong(document.version());
            packer.packString(document.digest());
            MessagePackCodec.list(packer, document.services(), (out, service) -> out.packString(service.value()));
            MessagePackCodec.list(packer, document.classes(), JobClassCodec::packClass);
            byte[] source = document.source();
            packer.packBinaryHeader(source.length).writePayload(source);
        });
    }

    /**
     * Decodes a document.
     *
     * @param bytes the bytes that {@link #pack} returned
     * @return the document, never null
     */
    public static JobClassDocument unpack(byte[] bytes) {
        return MessagePackCodec.unpack(bytes, unpacker -> {
            long version = unpacker.unpackLong();
            String digest = unpacker.unpackString();
            List<ServiceName> services = MessagePackCodec.list(unpacker, in -> ServiceName.of(in.unpackString()));
            List<JobClass> classes = MessagePackCodec.list(unpacker, JobClassCodec::unpackClass);
            byte[] source = unpacker.readPayload(unpacker.unpackBinaryHeader());
            return new JobClassDocument(version, Set.copyOf(services), classes, digest, source);
        });
    }

    /**
     * Writes the terms of a class.
     *
     * @param packer the packer to write to
     * @param terms the terms
     * @throws IOException if the packer can't be written to
     */
    public static void packTerms(MessageBufferPacker packer, JobTerms terms) throws IOException {
        packer.packString(terms.jobClass().value());
        packer.packString(terms.service().value());
        packer.packInt(terms.priority());
        packer.packInt(terms.attempts());
        packer.packDouble(terms.stretch());
        packer.packLong(terms.objectiveMillis());
    }

    /**
     * Reads the terms of a class.
     *
     * @param unpacker the unpacker to read from
     * @return the terms, never null
     * @throws IOException if the message is malformed or cut short
     */
    public static JobTerms unpackTerms(MessageUnpacker unpacker) throws IOException {
        return new JobTerms(
                JobClassName.of(unpacker.unpackString()),
                ServiceName.of(unpacker.unpackString()),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpacker.unpackDouble(),
                unpacker.unpackLong());
    }

    static byte[] pack(ReplaceResult result) {
        return MessagePackCodec.pack(
                packer -> packer.packInt(result.outcome().code()).packLong(result.version()));
    }

    static ReplaceResult unpackResult(byte[] bytes) {
        return MessagePackCodec.unpack(
                bytes,
                unpacker ->
                        new ReplaceResult(ReplaceResult.Outcome.ofCode(unpacker.unpackInt()), unpacker.unpackLong()));
    }

    private static void packClass(MessageBufferPacker packer, JobClass jobClass) throws IOException {
        packer.packString(jobClass.host());
        packer.packString(jobClass.pathPrefix());
        packTerms(packer, jobClass.terms());
        packer.packLong(jobClass.timeoutMillis());
    }

    private static JobClass unpackClass(MessageUnpacker unpacker) throws IOException {
        return new JobClass(
                unpacker.unpackString(), unpacker.unpackString(), unpackTerms(unpacker), unpacker.unpackLong());
    }
}
