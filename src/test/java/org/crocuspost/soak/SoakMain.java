package org.crocuspost.soak;

import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Command that runs the soak test for one or more seeds.
 */
@Command(name = "crocuspost-soak", mixinStandardHelpOptions = true,
		description = "Runs the programs under random faults and checks their guarantees.")
public final class SoakMain implements Callable<Integer> {

	@Option(names = "--seed", description = "first seed (default: ${DEFAULT-VALUE})")
	private long seed = 1;

	@Option(names = "--seeds", description = "number of seeds (default: ${DEFAULT-VALUE})")
	private int seeds = 1;

	@Option(names = "--seconds", description = "length of a run (default: ${DEFAULT-VALUE})")
	private int seconds = 30;

	@Option(names = "--hosts", description = "number of hosts with a worker (default: ${DEFAULT-VALUE})")
	private int hosts = 4;

	@Option(names = "--unstable-workers",
			description = "some tasks crash each worker that starts them, and workers change their capacity")
	private boolean unstableWorkers;

	@Option(names = "--folder", description = "where the logs go (default: ${DEFAULT-VALUE})")
	private Path folder = Path.of("target/soak");

	/**
	 * Runs the command and exits with status 0 if no guarantee was violated.
	 * @param arguments the options; see {@code --help}
	 */
	public static void main(String[] arguments) {
		System.exit(new CommandLine(new SoakMain()).execute(arguments));
	}

	@Override
	public Integer call() throws Exception {
		System.out.println("                seed faults submitted accepted   runs crashes");
		int failed = 0;
		for (long next = this.seed; next < this.seed + this.seeds; next++) {
			SoakReport report = new Soak(next, Duration.ofSeconds(this.seconds), this.hosts,
					this.folder.resolve(String.valueOf(next)), Soak.loopbackOctet(), this.unstableWorkers)
				.run();
			System.out.println(report.summaryLine());
			if (!report.violations().isEmpty()) {
				failed++;
				report.violations().forEach((violation) -> System.out.println("    " + violation));
				System.out.print(report.timeline());
			}
		}
		return (failed == 0) ? 0 : 1;
	}

}
