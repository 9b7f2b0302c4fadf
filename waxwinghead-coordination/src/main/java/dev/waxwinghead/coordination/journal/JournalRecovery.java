package dev.waxwinghead.coordination.journal;

import dev.waxwinghead.coordination.storage.HardState;
import dev.waxwinghead.coordination.storage.LogEntry;
import dev.waxwinghead.coordination.storage.Snapshot;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jboss.logging.Logger;

/** Reads the snapshot and the segments of a data folder and determines which entries and hard state are valid. */
final class JournalRecovery implements SegmentReader.RecordVisitor {
    private static final Logger LOG = Logger.getLogger(JournalRecovery.class);

    private final Path folder;
    private final LogTerms terms = new LogTerms();
    private final List<LogEntry> entries = new ArrayList<>();
    private final List<SegmentHeader> segments = new ArrayList<>();
    private HardState hardState = HardState.INITIAL;
    private Optional<Snapshot> snapshot = Optional.empty();
    private int endOffset;

    private JournalRecovery(Path folder) {
        this.folder = folder;
    }

    static JournalRecovery read(FileOperations operations, Path folder) throws IOException {
        JournalRecovery recovery = new JournalRecovery(folder);
        List<String> names = operations.list(folder);
        recovery.snapshot = SnapshotFile.readNewest(operations, folder, names);
        recovery.readSegments(operations, names);
        recovery.checkCoverage();
        return recovery;
    }

    HardState hardState() {
        return hardState;
    }

    Optional<Snapshot> snapshot() {
        return snapshot;
    }

    /** Returns the stored entries that follow the snapshot. */
    List<LogEntry> entriesAfterSnapshot() {
        long covered = snapshot.map(Snapshot::lastIndex).orElse(0L);
        return entries.stream().filter(entry -> entry.index() > covered).toList();
    }

    /** Returns whether the snapshot extends past the stored entries or contradicts them. */
    boolean entriesAreObsolete() {
        return snapshot.isPresent() && !containsLastEntry(terms, snapshot.get());
    }

    /** Returns whether the log contains the last entry of a snapshot with the same term. */
    static boolean containsLastEntry(LogTerms terms, Snapshot snapshot) {
        long unknownTerm = -1;
        return terms.termAt(snapshot.lastIndex()).orElse(unknownTerm) == snapshot.lastTerm();
    }

    LogTerms terms() {
        return terms;
    }

    List<SegmentHeader> segments() {
        return segments;
    }

    /** Returns the offset in the newest segment at which writing continues. */
    int endOffset() {
        return endOffset;
    }

    private void readSegments(FileOperations operations, List<String> names) throws IOException {
        List<String> files = names.stream().filter(SegmentHeader::isSegment).toList();
        Optional<SyncMark.Position> mark = SyncMark.read(operations, folder, names);
        for (String name : files) {
            Path file = folder.resolve(name);
            SegmentReader reader = SegmentReader.of(file, operations.read(file));
            beginSegment(file, reader.header());
            boolean newest = name.equals(files.get(files.size() - 1));
            endOffset = reader.read(this, syncedOffset(reader, newest, mark));
            logTornTail(file, reader.length());
        }
        checkNewestSegment(mark);
    }

    private static long syncedOffset(SegmentReader reader, boolean newest, Optional<SyncMark.Position> mark) {
        if (!newest) {
            return reader.length();
        }
        long sequence = reader.header().sequence();
        return mark.filter(position -> position.segment() == sequence)
                .map(SyncMark.Position::offset)
                .orElse(0L);
    }

    private void logTornTail(Path file, int length) {
        if (endOffset < length) {
            LOG.infof("%s: truncating a torn tail of %d bytes at byte %d", file, length - endOffset, endOffset);
        }
    }

    private void beginSegment(Path file, SegmentHeader header) {
        if (!segments.isEmpty() && segments.get(segments.size() - 1).sequence() + 1 != header.sequence()) {
            throw StorageFailures.incomplete(folder, "the segment before " + file.getFileName() + " is missing");
        }
        boolean dropsAllBefore = header.reset() || header.firstIndex() <= terms.baseIndex();
        if (segments.isEmpty() || dropsAllBefore) {
            terms.reset(header.firstIndex() - 1, header.previousTerm());
            entries.clear();
        } else {
            truncateTo(file, header);
        }
        segments.add(header);
        hardState = header.hardState();
    }

    private void truncateTo(Path file, SegmentHeader header) {
        long previous = header.firstIndex() - 1;
        if (terms.termAt(previous).orElse(-1) != header.previousTerm()) {
            throw StorageFailures.damaged(file, 0, "the first entry does not follow the segments before it");
        }
        terms.truncateFrom(header.firstIndex());
        entries.subList((int) (previous - terms.baseIndex()), entries.size()).clear();
    }

    private void checkNewestSegment(Optional<SyncMark.Position> mark) {
        long newest = segments.isEmpty() ? 0 : segments.get(segments.size() - 1).sequence();
        if (mark.isPresent() && mark.get().segment() > newest) {
            throw StorageFailures.incomplete(
                    folder, "segment " + mark.get().segment() + ", the newest of the log, is missing");
        }
    }

    private void checkCoverage() {
        if (segments.isEmpty() && snapshot.isPresent()) {
            throw StorageFailures.incomplete(folder, "it contains a snapshot but no segment");
        }
        long covered = snapshot.map(Snapshot::lastIndex).orElse(0L);
        if (terms.baseIndex() > covered) {
            throw StorageFailures.incomplete(
                    folder,
                    "its entries begin at " + (terms.baseIndex() + 1) + " and the snapshot before them is missing");
        }
    }

    @Override
    public void visitEntry(Path file, int offset, LogEntry entry) {
        if (entry.index() != terms.lastIndex() + 1) {
            throw StorageFailures.damaged(
                    file, offset, "entry " + entry.index() + " follows entry " + terms.lastIndex());
        }
        terms.add(entry.term());
        entries.add(entry);
    }

    @Override
    public void visitHardState(HardState state) {
        hardState = state;
    }
}
