package org.crocuspost.bench.policy;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;

import org.crocuspost.json.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Subcommand that compares policies for batch tasks on the workers of services and writes
 * the report as JSON and HTML. Exits with status 1 if a run violated an invariant.
 */
@Command(name = "policy", mixinStandardHelpOptions = true,
		description = "Compares policies for batch work beside services, in virtual time.")
public final class PolicyCommand implements Callable<Integer> {

	@Option(names = "--deployment", defaultValue = "sappaya", description = "sappaya, mela or large")
	private String deployment = "sappaya";

	@Option(names = "--seeds", defaultValue = "3", description = "number of seeds for each interference function")
	private int seeds = 3;

	@Option(names = "--held-out", description = "use the seeds and functions that are kept for recorded figures")
	private boolean heldOut;

	@Option(names = "--threads", defaultValue = "4", description = "number of runs at once")
	private int threads = 4;

	@Option(names = "--output", defaultValue = "target/bench", description = "directory for JSON and HTML")
	private Path output = Path.of("target/bench");

	@Spec
	private CommandSpec specification = CommandSpec.create();

	@Override
	public Integer call() throws IOException, InterruptedException {
		PolicyReport report = new PolicyComparison(Deployment.named(this.deployment), this.heldOut, this.seeds)
			.run(this.threads);
		PrintWriter out = this.specification.commandLine().getOut();
		out.print(PolicyTable.write(report));
		Files.createDirectories(this.output);
		String name = "policy-" + this.deployment + (this.heldOut ? "-held-out" : "");
		Path json = this.output.resolve(name + ".json");
		Path page = this.output.resolve(name + ".html");
		Files.writeString(json, Json.write(report));
		Files.writeString(page, PolicyPage.write(report));
		out.println("wrote " + json + " and " + page);
		out.flush();
		boolean invariantsHold = report.runs().stream().allMatch((run) -> run.violations() == 0);
		return invariantsHold ? 0 : 1;
	}

}
