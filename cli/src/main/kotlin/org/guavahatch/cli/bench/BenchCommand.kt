package org.guavahatch.cli.bench

import org.guavahatch.cli.command.Command
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.util.Locale

/** Runs the scheduling policies in simulated scenarios and prints one table row per scenario, seed and policy. */
internal class BenchCommand : Command {
    @Argument(required = true, metaVar = "WHAT", usage = "what to measure: policy")
    private var subject: String = ""

    @Option(name = "--seed", metaVar = "NUMBER", usage = "seed of the requests; may be repeated; default 1, 2 and 3")
    private var seeds: List<Int> = ArrayList()

    @Option(name = "--scenario", metaVar = "NAME", usage = "scenario to run, default all")
    private var scenarioName: String = ""

    override fun run(): Int {
        val scenarios = BenchScenario.all.filter { scenarioName.isEmpty() || it.name == scenarioName }
        if (subject != "policy" || scenarios.isEmpty()) {
            System.err.println(
                "guavahatch bench: Allowed is 'policy', with ${BenchScenario.all.joinToString {
                    it.name
                }}.",
            )
            return Command.EXIT_USAGE
        }
        println(HEADER)
        scenarios.forEach(::compare)
        return Command.EXIT_OK
    }

    private fun compare(scenario: BenchScenario) {
        seeds.ifEmpty { listOf(1, 2, 3) }.forEach { seed ->
            val results = PolicyBench.policies.associate { it.name to PolicyBench.run(scenario, it, seed) }
            val reference = results.getValue(PolicyBench.CLAIRVOYANT)
            results.forEach { (policy, measures) -> println(formatRow(scenario, seed, policy, measures, reference)) }
        }
    }

    private fun formatRow(
        scenario: BenchScenario,
        seed: Int,
        policy: String,
        measures: BenchMeasures,
        reference: BenchMeasures,
    ): String {
        val tiers = measures.goodByTier.joinToString(" ") { "%5.3f".format(Locale.ROOT, it) }
        return "%-12s %4d %-12s %s %6.3f %6.3f %6.0f %6.0f %6.0f %6.3f %6.3f %6d".format(
            Locale.ROOT,
            scenario.name,
            seed,
            policy,
            tiers,
            measures.weightedGood / reference.weightedGood,
            measures.crestGood / reference.crestGood,
            measures.firstTokenP50,
            measures.firstTokenP99,
            measures.tokenGapP95,
            measures.wastedPrefill,
            measures.smallestAccountShare,
            measures.inversions,
        )
    }

    private companion object {
        const val HEADER =
            "scenario     seed policy       good in tier 0 to 3     " +
                "/ref crest/r   tt50   tt99  gap95 wasted accoun invers"
    }
}
