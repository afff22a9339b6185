package org.guavahatch.standins.engine

/**
 * Speed and memory of a stand-in engine.
 *
 * @property stepMilliseconds time of a step with an empty batch, default 4.0
 * @property stepPerSequenceMilliseconds time that each decoding sequence adds to a step, default 0.15
 * @property prefillPerTokenMilliseconds time that each prompt token adds to a step, default 0.02
 * @property prefillTokensPerStep prompt tokens computed in a step at most, default 1024
 * @property maximumSequences sequences in a batch at most, default 64
 * @property memoryTokens tokens that the KV memory holds, default 200 000
 * @property cacheTokens tokens of prefixes that are cached, default 40 000
 * @property speed factor that all times are divided by, default 1.0
 * @property reportLagMilliseconds age of the load report, default 1000
 * @property cacheEventLagMilliseconds age from which cache events are published, default 500
 * @property lostCacheEventEveryNth one cache event in so many is never published, default 7
 * @property checksFencing whether orders with an old fencing number are refused
 */
internal data class EngineSettings(
    val stepMilliseconds: Double = 4.0,
    val stepPerSequenceMilliseconds: Double = 0.15,
    val prefillPerTokenMilliseconds: Double = 0.02,
    val prefillTokensPerStep: Int = 1024,
    val maximumSequences: Int = 64,
    val memoryTokens: Long = 200_000,
    val cacheTokens: Int = 40_000,
    val speed: Double = 1.0,
    val reportLagMilliseconds: Long = 1000,
    val cacheEventLagMilliseconds: Long = 500,
    val lostCacheEventEveryNth: Int = 7,
    val checksFencing: Boolean = true,
)
