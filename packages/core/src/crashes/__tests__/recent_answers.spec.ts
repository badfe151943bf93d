import test from 'ava';
import {MAX_ANSWERED, RecentAnswers} from '../recent_answers.js';

test('an answer clears its request for a limited time', t => {
  const answers = new RecentAnswers();
  answers.record('f', 0);
  t.true(answers.hasRecent('f', 9000));
  t.false(answers.hasRecent('f', 11_000));
  t.false(answers.hasRecent('g', 0));
});

test('the number of tracked requests is bounded, and the last answered stay', t => {
  const answers = new RecentAnswers();
  answers.record('first', 0);
  for (let i = 0; i < MAX_ANSWERED; i++) answers.record(`f${i}`, 1);
  t.false(answers.hasRecent('first', 2));
  t.true(answers.hasRecent('f0', 2));
});
