/**
 * The runtime of a replica, which runs the consensus core on top of a storage and the peer network. Each replica uses
 * two threads and serves proposals and reads.
 *
 * <pre>{@code
 * ReplicaSettings settings = ReplicaSettings.of(HostId.of("e1"), "10.0.0.1:7400", initialVoters);
 * try (ReplicaNode node = ReplicaNode.start(settings, stateMachine, storage, network, Ticker.system())) {
 *     byte[] result = node.propose(command, deadline).join();
 * }
 * }</pre>
 */
package dev.waxwinghead.coordination.replica;
