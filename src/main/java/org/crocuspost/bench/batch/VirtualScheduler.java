package org.crocuspost.bench.batch;

import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.scheduler.BatchScheduler;
import org.crocuspost.standin.process.VirtualProcess;

/**
 * Holds a scheduler and the virtual process in which it runs.
 *
 * @param identity the identity of the process
 * @param process the virtual process
 * @param scheduler the scheduler
 */
public record VirtualScheduler(PeerIdentity identity, VirtualProcess process, BatchScheduler scheduler) {
}
