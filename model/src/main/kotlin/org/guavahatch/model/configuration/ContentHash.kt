package org.guavahatch.model.configuration

import java.security.MessageDigest
import java.util.HexFormat

/** Computes the hash that identifies published text. */
public object ContentHash {
    /** Returns the SHA-256 hash of [text] in UTF-8 as hexadecimal digits. */
    public fun of(text: String): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))
}
