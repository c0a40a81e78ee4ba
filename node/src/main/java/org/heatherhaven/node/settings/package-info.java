/** Settings and policy patches in TOML, checked whole before anything starts. */
package org.heatherhaven.node.settings;
