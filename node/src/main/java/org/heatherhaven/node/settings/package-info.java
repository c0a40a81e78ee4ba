/** Readers of node settings and policy patches in TOML; a file is validated as a whole before it is used. */
package org.heatherhaven.node.settings;
