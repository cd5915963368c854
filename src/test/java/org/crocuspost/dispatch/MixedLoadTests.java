package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

import org.crocuspost.dispatch.MixedLoadSimulation.Load;
import org.crocuspost.dispatch.MixedLoadSimulation.Result;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replays services, short jobs and fillers on a large fleet by seed. Single seeds differ
 * by the number of workers without services, so the means of several are compared.
 */
class MixedLoadTests {

	private static final Duration LENGTH = Duration.ofSeconds(34);

	private static List<Result> play(long firstSeed, int seeds, Load load) {
		return LongStream.range(firstSeed, firstSeed + seeds)
			.mapToObj((seed) -> new MixedLoadSimulation(seed, load).run(LENGTH))
			.toList();
	}

	private static double mean(List<Result> results, ToDoubleFunction<Result> figure) {
		return results.stream().mapToDouble(figure).average().orElseThrow();
	}

	/**
	 * A placement that must be undone within two seconds was a wrong decision: it costs
	 * an order, a record and the start-up of the task, and delays the job. At most one in
	 * twenty may be wrong.
	 */
	@Test
	void fewFillersAreStoppedSoonAfterTheirStart() {
		assertThat(mean(play(1, 6, Load.LARGE), Result::earlyStops)).isLessThan(0.05);
	}

	/**
	 * Time in which a service misses its target because of a filler counts four times
	 * against it. Fillers may cost services one twentieth of their worth.
	 */
	@Test
	void fillersCostServicesLittle() {
		assertThat(mean(play(31, 6, Load.LARGE), Result::missedTargets) * 4).isLessThan(0.05);
	}

	/**
	 * Under a load that exceeds the workers, jobs must be finished one after the other:
	 * if each new job delays the ones before it, nearly all are late.
	 */
	@Test
	void overloadDoesNotMakeAllJobsLate() {
		List<Result> normal = play(21, 4, Load.LARGE);
		List<Result> overload = play(21, 4, Load.LARGE.scaled(2));
		assertThat(mean(overload, Result::fillers) * 2).isGreaterThan(mean(normal, Result::fillers) * 0.9);
		assertThat(mean(overload, Result::shortJobs)).isGreaterThan(0.9);
	}

	/**
	 * The platform demands that the largest jobs are served at least half as often as all
	 * jobs of their kind.
	 */
	@Test
	void largeJobsAreServedAsWell() {
		List<Result> results = play(11, 6, Load.LARGE);
		double served = mean(results, Result::servedFillers);
		assertThat(mean(results, Result::servedLargest)).isGreaterThan(served / 2);
		assertThat(mean(results, Result::servedLarge)).isGreaterThan(served / 2);
	}

	/**
	 * On a small fleet, most images press hard on services, and services come and go. The
	 * users' floor of a kind of request is a tenth of its worth; it was missed when no
	 * worker without services was left. A day on which services reserve nearly everything
	 * may miss it.
	 */
	@Test
	void fillersOfSmallFleetKeepFloorWhileServicesComeAndGo() {
		List<Result> results = play(301, 24, Load.SMALL.withHeavyImages(7));
		long missed = results.stream().filter((result) -> result.fillers() < 0.1).count();
		assertThat(missed).isLessThanOrEqualTo(results.size() / 4);
		assertThat(mean(results, Result::shortJobs)).isGreaterThan(0.9);
	}

	/**
	 * Services arrive until they reserve nearly the whole fleet, and each heavy image
	 * presses hard on a part of the services. While a weight was learned for the image
	 * alone, its fillers waited for workers without services. The users' floor is 0.12 of
	 * the worth.
	 */
	@Test
	void fillersKeepFloorWhileServicesFillLargeFleet() {
		List<Result> results = play(401, 8, Load.FILLING);
		assertThat(results).extracting(Result::fillers).allMatch((earned) -> earned > 0.12);
		assertThat(mean(results, Result::shortJobs)).isGreaterThan(0.9);
	}

}
