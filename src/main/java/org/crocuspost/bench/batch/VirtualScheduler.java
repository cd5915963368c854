package org.crocuspost.bench.batch;

import org.crocuspost.peer.PeerIdentity;
import org.crocuspost.scheduler.BatchScheduler;
import org.crocuspost.standin.process.VirtualProcess;

/**
 * A scheduler process.
 *
 * @param identity who the process is
 * @param process the process
 * @param scheduler the scheduler
 */
public record VirtualScheduler(PeerIdentity identity, VirtualProcess process, BatchScheduler scheduler) {
}
