package org.crocuspost.bench;

import org.crocuspost.bench.capacity.CapacityCommand;
import org.crocuspost.bench.policy.PolicyCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Runs the benchmark that the subcommand names.
 */
@Command(name = "crocuspost-bench", mixinStandardHelpOptions = true, description = "Benchmarks of crocuspost.",
		subcommands = { CapacityCommand.class, PolicyCommand.class })
public final class BenchMain {

	private BenchMain() {
	}

	/**
	 * Runs the program.
	 * @param arguments the subcommand, followed by its options
	 */
	public static void main(String[] arguments) {
		System.exit(new CommandLine(new BenchMain()).execute(arguments));
	}

}
