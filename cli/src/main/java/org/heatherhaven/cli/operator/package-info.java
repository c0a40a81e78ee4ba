/** Operators' commands, which talk to a node's listener for operators. */
package org.heatherhaven.cli.operator;
