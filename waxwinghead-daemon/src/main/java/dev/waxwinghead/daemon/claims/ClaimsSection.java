package dev.waxwinghead.daemon.claims;

import dev.waxwinghead.daemon.state.SectionId;
import dev.waxwinghead.daemon.state.StateSection;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Holds the claims of keyed requests.
 *
 * <p>A dispatcher is the process of an entry host that claims a key and sends the request. A claim ends in three ways
 * only: its own dispatcher releases the claim, an answer is recorded under the claim, or the claim expires after
 * {@link #RETENTION}. No dispatcher takes over the claim of another, so a dispatcher that was suspended can't run a
 * request twice.
 */
public final class ClaimsSection implements StateSection {
    /** The time after which a claim expires, by the median of the hosts' clocks. */
    static final Duration RETENTION = Duration.ofHours(24);

    private final ClaimBounds bounds;
    private final Map<String, ClaimRecord> claims = new LinkedHashMap<>();
    private final Set<String> answeredKeys = new LinkedHashSet<>();
    private final ConcurrentMap<String, ClaimRecord> publishedClaims = new ConcurrentHashMap<>();
    private final HostClocks clocks = HostClocks.create();
    private long answerBytes;

    private ClaimsSection(ClaimBounds bounds) {
        this.bounds = bounds;
    }

    /**
     * Creates an empty section.
     *
     * @return the section, never null
     */
    public static ClaimsSection create() {
        return new ClaimsSection(ClaimBounds.DEFAULT);
    }

    static ClaimsSection create(ClaimBounds bounds) {
        return new ClaimsSection(bounds);
    }

    @Override
    public SectionId id() {
        return SectionId.CLAIMS;
    }

    @Override
    public byte[] apply(long index, byte[] bytes) {
        return ClaimCodec.packResult(apply(ClaimCodec.unpackCommand(bytes)));
    }

    @Override
    public byte[] snapshot() {
        return ClaimCodec.pack(packer -> {
            packer.packMapHeader(claims.size());
            for (Map.Entry<String, ClaimRecord> claim : claims.entrySet()) {
                packer.packString(claim.getKey());
                ClaimCodec.packRecord(packer, claim.getValue());
            }
            packer.packArrayHeader(answeredKeys.size());
            for (String key : answeredKeys) {
                packer.packString(key);
            }
            clocks.packTo(packer);
        });
    }

    @Override
    public void restore(byte[] snapshot) {
        claims.clear();
        answeredKeys.clear();
        answerBytes = 0;
        ClaimCodec.unpack(snapshot, unpacker -> {
            int count = unpacker.unpackMapHeader();
            for (int i = 0; i < count; i++) {
                String key = unpacker.unpackString();
                ClaimRecord record = ClaimCodec.unpackRecord(unpacker);
                claims.put(key, record);
                answerBytes += bytesOf(record);
            }
            int answers = unpacker.unpackArrayHeader();
            for (int i = 0; i < answers; i++) {
                answeredKeys.add(unpacker.unpackString());
            }
            clocks.unpackFrom(unpacker);
            return null;
        });
        publishedClaims.keySet().retainAll(claims.keySet());
        publishedClaims.putAll(claims);
    }

    /** Returns a claim as this replica has applied it. Safe to call from any thread. */
    Optional<ClaimRecord> find(String key) {
        return Optional.ofNullable(publishedClaims.get(key));
    }

    /** Returns the number of claims on this replica. Safe to call from any thread. */
    int size() {
        return publishedClaims.size();
    }

    private ClaimResult apply(ClaimCommand command) {
        if (command instanceof ClaimCommand.Claim claim) {
            return claim(claim);
        }
        if (command instanceof ClaimCommand.Complete complete) {
            return complete(complete);
        }
        if (command instanceof ClaimCommand.Release release) {
            return release(release);
        }
        return recordClock((ClaimCommand.RecordClock) command);
    }

    private ClaimResult claim(ClaimCommand.Claim claim) {
        ClaimRecord known = claims.get(claim.key());
        if (known != null) {
            boolean own = known.nonce() == claim.nonce() && known.answer() == null;
            return own ? ClaimResult.of(ClaimResult.Status.GRANTED) : ClaimResult.of(known, claim.digest());
        }
        if (claims.size() >= bounds.maxClaims()) {
            return ClaimResult.of(ClaimResult.Status.FULL);
        }
        put(claim.key(), new ClaimRecord(claim.digest(), claim.dispatcher(), claim.nonce(), claim.epochMillis(), null));
        return ClaimResult.of(ClaimResult.Status.GRANTED);
    }

    private ClaimResult complete(ClaimCommand.Complete complete) {
        ClaimRecord known = claims.get(complete.key());
        if (known == null || known.nonce() != complete.nonce() || known.answer() != null) {
            return ClaimResult.of(ClaimResult.Status.FREE);
        }
        ClaimRecord record = known.withAnswer(complete.answer());
        put(complete.key(), record);
        answeredKeys.add(complete.key());
        answerBytes += bytesOf(record);
        dropOldestAnswers();
        return ClaimResult.of(ClaimResult.Status.ANSWERED);
    }

    private ClaimResult release(ClaimCommand.Release release) {
        ClaimRecord known = claims.get(release.key());
        if (known != null && known.nonce() == release.nonce() && known.answer() == null) {
            remove(release.key());
        }
        return ClaimResult.of(ClaimResult.Status.FREE);
    }

    private ClaimResult recordClock(ClaimCommand.RecordClock command) {
        clocks.record(command.host(), command.epochMillis());
        long cutoff = clocks.median() - RETENTION.toMillis();
        Iterator<Map.Entry<String, ClaimRecord>> all = claims.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<String, ClaimRecord> claim = all.next();
            if (claim.getValue().claimedAtEpochMillis() < cutoff) {
                all.remove();
                removeDerivedState(claim.getKey(), claim.getValue());
            }
        }
        return ClaimResult.of(ClaimResult.Status.FREE);
    }

    private void dropOldestAnswers() {
        Iterator<String> oldest = answeredKeys.iterator();
        while (answerBytes > bounds.maxAnswerBytes() && oldest.hasNext()) {
            String key = oldest.next();
            oldest.remove();
            ClaimRecord record = claims.get(key);
            answerBytes -= bytesOf(record);
            put(key, record.withAnswer(null));
        }
    }

    private void put(String key, ClaimRecord record) {
        claims.put(key, record);
        publishedClaims.put(key, record);
    }

    private void remove(String key) {
        removeDerivedState(key, claims.remove(key));
    }

    private void removeDerivedState(String key, ClaimRecord record) {
        publishedClaims.remove(key);
        answeredKeys.remove(key);
        answerBytes -= bytesOf(record);
    }

    private static int bytesOf(ClaimRecord record) {
        return record.answer() == null ? 0 : record.answer().body().length;
    }
}
