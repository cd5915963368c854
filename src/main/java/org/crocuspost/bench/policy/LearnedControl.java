package org.crocuspost.bench.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.crocuspost.interference.EvictionBudget;
import org.crocuspost.interference.EvictionRequest;
import org.crocuspost.interference.InterferenceController;
import org.crocuspost.interference.InterferenceSettings;
import org.crocuspost.interference.LearnedPairPenalty;
import org.crocuspost.interference.PairPenalties;
import org.crocuspost.interference.PairPenaltySettings;
import org.crocuspost.placement.DefaultPlacementPolicy;
import org.crocuspost.placement.PairPenalty;
import org.crocuspost.placement.PlacementPolicy;
import org.crocuspost.time.VirtualTime;

/**
 * Policy of crocuspost itself: an interference controller on each worker with a service,
 * and learned pair penalties and an eviction budget in the scheduler.
 */
final class LearnedControl implements BatchControl {

	private static final int REPORT_SECONDS = 5;

	private static final Duration EVICTION_INTERVAL = Duration.ofSeconds(30);

	private static final int EVICTION_BURST = 4;

	private final Map<Integer, InterferenceController> controllers = new HashMap<>();

	private final Map<Integer, EvictionRequest> requests = new HashMap<>();

	private final PairPenalties penalties;

	private final EvictionBudget fleetBudget;

	private final PlacementPolicy placement;

	LearnedControl(List<BenchWorker> workers, Map<String, Long> milliCoresByJob, VirtualTime time) {
		this.penalties = new PairPenalties(PairPenaltySettings.DEFAULT, time);
		this.fleetBudget = new EvictionBudget(time, EVICTION_INTERVAL, EVICTION_BURST);
		Map<String, String> services = new HashMap<>();
		for (BenchWorker worker : workers) {
			worker.service().ifPresent((service) -> {
				services.put(worker.name(), service.name());
				this.controllers.put(worker.index(), controller(worker, time));
			});
		}
		PairPenalty cost = new LearnedPairPenalty(this.penalties, (worker) -> Optional.ofNullable(services.get(worker)),
				milliCoresByJob::get);
		this.placement = new DefaultPlacementPolicy(cost);
	}

	private InterferenceController controller(BenchWorker worker, VirtualTime time) {
		return new InterferenceController(InterferenceSettings.DEFAULT, time, worker.capacity(), worker.latencyWindow(),
				(job) -> this.penalties.effect(worker.service().orElseThrow().name(), job), worker::controlledAttempts,
				worker::throttle, (request) -> this.requests.put(worker.index(), request));
	}

	@Override
	public PlacementPolicy placement() {
		return this.placement;
	}

	@Override
	public void control(BenchWorker worker, SimulationTime now, TaskEvictor evictor) {
		if (worker.service().isEmpty()) {
			return;
		}
		ServiceProfile service = worker.service().get();
		InterferenceController controller = this.controllers.get(worker.index());
		controller.control(service.name(), service.objective());
		if ((now.step() + worker.index()) % REPORT_SECONDS == 0) {
			report(worker, controller, evictor);
		}
	}

	private void report(BenchWorker worker, InterferenceController controller, TaskEvictor evictor) {
		this.penalties.recordReport(worker.name(), controller.observations());
		EvictionRequest request = this.requests.remove(worker.index());
		if (request != null && this.fleetBudget.tryAcquire()) {
			worker.find(request.attempt()).ifPresent(evictor::evict);
		}
	}

}
