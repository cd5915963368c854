package org.crocuspost.model;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.A4Tuple;
import edu.mit.csail.sdg.translator.A4TupleSet;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import kodkod.engine.satlab.SATFactory;

/**
 * Alloy specification that is read from a class path resource. Executes the commands of
 * the specification and evaluates relations in their solutions.
 */
final class AlloyModel {

	private final CompModule module;

	private AlloyModel(CompModule module) {
		this.module = module;
	}

	static AlloyModel read(String name) {
		try (InputStream stream = AlloyModel.class.getResourceAsStream(name)) {
			String text = new String(Objects.requireNonNull(stream, name).readAllBytes(), StandardCharsets.UTF_8);
			return new AlloyModel(CompUtil.parseEverything_fromString(A4Reporter.NOP, text));
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Executes a command.
	 * @param label the name of the command
	 * @return an instance, which is a counterexample if the command is a check; not
	 * satisfiable if there is none
	 */
	A4Solution execute(String label) {
		A4Options options = new A4Options();
		options.solver = SATFactory.find("sat4j").orElseThrow();
		return TranslateAlloyToKodkod.execute_command(A4Reporter.NOP, this.module.getAllReachableSigs(), command(label),
				options);
	}

	boolean isCheck(String label) {
		return command(label).check;
	}

	private Command command(String label) {
		return this.module.getAllCommands()
			.stream()
			.filter((command) -> command.label.equals(label))
			.findFirst()
			.orElseThrow();
	}

	/**
	 * Evaluates a relation between enums in the first state of an instance.
	 * @param solution the instance
	 * @param expression the relation
	 * @return the tuples of the relation, each as two names joined by {@code ->}
	 */
	Set<String> tuples(A4Solution solution, String expression) {
		A4TupleSet set = (A4TupleSet) solution.eval(CompUtil.parseOneExpression_fromString(this.module, expression), 0);
		Set<String> result = new HashSet<>();
		for (A4Tuple tuple : set) {
			result.add(name(tuple.atom(0)) + " -> " + name(tuple.atom(1)));
		}
		return result;
	}

	private static String name(String atom) {
		return atom.substring(0, atom.indexOf('$'));
	}

}
