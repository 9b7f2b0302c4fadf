/**
 * The runtime of a replica: it drives the consensus core with two threads, a storage and the peer network, and serves
 * proposals and reads on every replica.
 *
 * <pre>{@code
 * ReplicaSettings settings = ReplicaSettings.of(HostId.of("e1"), "10.0.0.1:7400", initialVoters);
 * try (ReplicaNode node = ReplicaNode.start(settings, stateMachine, storage, network, Ticker.system())) {
 *     byte[] result = node.propose(command, deadline).join();
 * }
 * }</pre>
 */
package dev.waxwinghead.coordination.replica;
